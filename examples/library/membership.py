"""Five members in one process discover each other and detect that one stopped."""

from random import Random

from medlarridge import Instance, ManualClock, Member, Role
from medlarridge.coordination import Fetch, ListedVm, Membership, Send
from medlarridge.protocol import decode_gossip, decode_reply, encode

TICK_MS = 250
POOL = "asistente-frio"

clock = ManualClock()
nodes: dict[str, Membership] = {}


def act(node: Membership, actions: list) -> None:
    """Execute a member's actions, encoding messages as on the network."""
    for action in actions:
        peer = nodes.get(getattr(action, "address", ""))
        if isinstance(action, Send) and peer is not None:
            message = decode_gossip(encode(action.message), node.address)
            act(peer, peer.receive(node.address, message))
        elif isinstance(action, Fetch):
            reply = peer and peer.serve(action.request)
            if reply is not None:
                reply = decode_reply(encode(reply), action.address)
            act(node, node.receive_reply(action, reply))


def run(seconds: int) -> None:
    """Advance the clock and tick all members."""
    for _ in range(seconds * 1000 // TICK_MS):
        clock.advance(TICK_MS)
        for node in list(nodes.values()):
            act(node, node.tick())


for number in range(1, 6):
    address = f"10.0.0.{number}:7200"
    instance = Instance(address, number, "manzanillo-a", "pacifico-mx", Role.SIDECAR)
    nodes[address] = Membership(Member(instance, POOL), clock, Random(number))
# The VM list only provides contacts; probing determines which members are alive.
for node in nodes.values():
    node.update_vm_list([ListedVm(address) for address in nodes])

run(10)
print("known after joining:", [node.size for node in nodes.values()])

act(nodes["10.0.0.2:7200"], nodes["10.0.0.2:7200"].set_self(draining=True))
run(5)
usable = nodes["10.0.0.1:7200"].usable_members_of(POOL)
print("usable while one drains:", [m.instance.address for m in usable])

del nodes["10.0.0.5:7200"]
run(20)
print("known after one stopped:", [node.size for node in nodes.values()])
