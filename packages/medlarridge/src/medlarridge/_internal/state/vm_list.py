"""The platform's VM list as membership takes it."""

from collections.abc import Sequence

from result import Err, Ok, Result

from ..coordination.member_events import ListedVm
from ..errors import StoreError
from .platform import PlatformStore


class PlatformVmSource:
    """Reads the VM list and keeps it while its version stays the same."""

    def __init__(self, store: PlatformStore) -> None:
        self.store = store
        self.version = -1
        self.listed: list[ListedVm] = []

    async def vms(self) -> Result[Sequence[ListedVm], StoreError]:
        """Return all live and leaving VMs."""
        answer = await self.store.vms(self.version)
        if isinstance(answer, Err):
            return answer
        found = answer.ok_value
        if found is not None:
            self.version = found.version
            self.listed = [
                ListedVm(vm.address, vm.data_centre, state=vm.state) for vm in found.vms
            ]
        return Ok(self.listed)
