"""Converts the platform's VM list for membership."""

from collections.abc import Sequence

from result import Err, Ok, Result

from ..coordination.member_events import ListedVm
from ..errors import StoreError
from .platform import PlatformStore


class PlatformVmSource:
    """Reads the VM list and caches it until its version changes."""

    def __init__(self, store: PlatformStore) -> None:
        self.store = store
        self.version = -1
        self.listed: list[ListedVm] = []

    async def vms(self) -> Result[Sequence[ListedVm], StoreError]:
        """Return all live and leaving VMs."""
        result = await self.store.vms(self.version)
        if isinstance(result, Err):
            return result
        vm_list = result.ok_value
        if vm_list is not None:
            self.version = vm_list.version
            self.listed = [
                ListedVm(vm.address, vm.data_centre, state=vm.state)
                for vm in vm_list.vms
            ]
        return Ok(self.listed)
