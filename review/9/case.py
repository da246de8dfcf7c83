"""All routers are killed right after a second version of a runner is listed; clients take up."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from platform_standins import *  # noqa: E402, F403

ROUTERS = 3
STREAMS = 24
EVENTS = 60
EVENT_INTERVAL_S = 0.2
DEADLINE_MS = 15_000
KILL_AFTER_S = 0.0
DOWN_S = 1.0
IN_TOUCH_S = 3.0
MIN_TAKEN_UP = 12
GOES_ON_SHARE = 0.5


async def work(runner, method, target, headers, reader, writer) -> bool:
    await read_body(reader, headers)
    request_id = runner.note_run(headers)
    after = int(headers.get("last-event-id", "0"))
    head = {
        REQUEST_ID: request_id,
        SIGNATURE: "sig",
        "Content-Type": "text/event-stream",
        "Transfer-Encoding": "chunked",
    }
    writer.write(format_message("HTTP/1.1 200 OK", head))
    for number in range(after + 1, EVENTS + 1):
        event = f"id: {number}\ndata: {number} {runner.version}\n\n".encode()
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_INTERVAL_S)
    writer.write(b"0\r\n\r\n")
    return True


async def case(record, temporary, trouble, routers):
    subnet = free_subnet()
    store = Store(f"127.{subnet}.4.1", 8223)
    await store.start()
    write_configuration(
        store,
        3,
        [
            route(
                "quote",
                "lm-pool",
                "streaming",
                sticky=True,
                resumable=True,
                maxAttempts=2,
                gapTargetMs=300,
                targetLatencyMs=400,
            )
        ],
        [
            {
                "name": "lm-pool",
                "maxConnections": 360,
                "engine": {"slots": 64, "kvCapacityTokens": 614405},
            }
        ],
    )

    async def start_runner(number: int, version: str) -> None:
        host = f"127.{subnet}.2.{number + 1}"
        runner = Runner(store, record, f"i-{number}", "lm-pool", host, 8080, work, 64)
        runner.version = version
        await runner.start()
        record(f"runner i-{number} of version {version} registers")

    for number in range(3):
        await start_runner(number, "v1")
    for number in range(ROUTERS):
        ip = f"127.{subnet}.1.{number + 1}"
        routers.append(
            Router(record, temporary, f"front-{number}", ip, f"127.{subnet}.4.1:8223")
        )
        await routers[-1].start()
    for router in routers:
        if not await router.wait_ready():
            return None
    await asyncio.sleep(
        20
    )  # The routers have listed version v1 alone for longer than a stream lasts.

    def send(client, name, number, **more) -> None:
        client.send(
            "POST",
            "/quote/x",
            name,
            b"question %d" % number,
            DEADLINE_MS,
            X_Medlarridge_Model="m",
            X_Medlarridge_Token_Usage="710,300",
            X_Medlarridge_Prompt_Prefix=f"a1:100,{number:x}c:610",
            **more,
        )

    async def begin(number: int) -> tuple[str, int] | None:
        """Begin a stream; return its id and last event when the connection has broken."""
        client = Client(routers[number % ROUTERS].ip)
        await client.open()
        name = f"first-{number}"
        send(client, name, number)
        last, buffer = 0, b""
        until = now() + (6 if trouble else 2)
        try:
            while now() < until:
                data = await asyncio.wait_for(client.reader.read(4096), 6)
                if not data:
                    break
                buffer += data
                ids = [part.split(b"\n")[0] for part in buffer.split(b"id: ")[1:]]
                complete = buffer.count(b"\n\n")
                last = int(ids[complete - 1]) if complete else 0
        except (OSError, TimeoutError, ValueError):
            pass
        client.close()
        record(f"{name} has events up to {last}")
        return (name, last) if last else None

    async def take_up(number: int, name: str, last: int) -> bool:
        client = Client(routers[(number + 1) % ROUTERS].ip)
        await client.open()
        send(client, f"again-{number}", number, Last_Event_Id=str(last), Resumes=name)
        head = await asyncio.wait_for(read_head(client.reader), 10)
        goes_on = head is not None and " 200 " in head[0]
        record(f"again-{number} takes up {name} after {last}: {head and head[0]}")
        client.close()
        return goes_on

    async def begin_new(number: int) -> bool:
        client = Client(routers[number % ROUTERS].ip)
        await client.open()
        send(client, f"new-{number}", 100 + number)
        head = await asyncio.wait_for(read_head(client.reader), 10)
        client.close()
        return head is not None and " 200 " in head[0]

    streams = [asyncio.create_task(begin(number)) for number in range(STREAMS)]
    await asyncio.sleep(1.5)
    if trouble:
        await start_runner(3, "v2")
        await asyncio.sleep(KILL_AFTER_S)
        for router in routers:
            router.signal(signal.SIGKILL)
        for router in routers:
            await router.process.wait()
        await asyncio.sleep(DOWN_S)
        for router in routers:
            await router.start(first=False)
        for router in routers:
            if not await router.wait_ready():
                return None
        await asyncio.sleep(IN_TOUCH_S + 0.3)
    begun = [each for each in await asyncio.gather(*streams) if each is not None]
    new = await asyncio.gather(*(begin_new(number) for number in range(STREAMS)))
    taken = await asyncio.gather(
        *(take_up(number, name, last) for number, (name, last) in enumerate(begun))
    )
    share_new, share_taken = sum(new) / len(new), sum(taken) / max(len(taken), 1)
    record(
        f"new streams that begin: {sum(new)} of {len(new)}; taken up: {sum(taken)} of {len(taken)}"
    )
    if len(taken) < MIN_TAKEN_UP:
        return None
    return share_taken >= GOES_ON_SHARE * share_new


run_case(case, str(Path(__file__).resolve().parent))
