"""Clients send heads that are long, but shorter than `maxHeaderBytes`: are they refused?"""
import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import stand_ins as lab

ZONES = ["ikeja", "apapa", "lekki"]
SERVICE, OTHER = "huvo11a", "wuno96b"
MAX_HEADER_BYTES = 16384
# Two proper heads near to a limit, and an ordinary one: length of the longest header's value, and number of short
# headers beside it. The client's own headers and the request line take about 130 bytes.
LONG_HEAD, MANY_HEADERS, ORDINARY_HEAD = (16_100, 0), (1, 92), (4_000, 20)
ROUNDS = 20


async def case(folder, trouble):
    fleet = lab.Fleet(folder, ZONES)
    try:
        return await play(fleet, trouble)
    finally:
        await fleet.close()


async def book(machine, head):
    """A booking whose head is shorter than the limit."""
    value_bytes, count = head
    extra = {"Cookie": "c" * value_bytes, **{f"X-Note-{at}": "1" for at in range(count)}}
    if sum(len(name) + len(value) + 4 for name, value in extra.items()) + 200 > MAX_HEADER_BYTES:
        raise lab.Unavailable("the head is too long")
    return await lab.request(machine, "POST", "/pufi791/1", extra=extra)


async def play(fleet, trouble):
    for zone in ZONES:
        fleet.add_machine(SERVICE, zone)
        fleet.add_machine(OTHER, zone)
    fleet.choose_ports()
    await fleet.start_store()
    routes = [lab.route("r-book", "/pufi791/", "non_idempotent", SERVICE)]
    first = lab.config(4, routes, [SERVICE, OTHER], maxHeaderBytes=MAX_HEADER_BYTES)
    fleet.store.put("op/config", json.dumps(first).encode())
    await fleet.start_nodes()
    for machine in fleet.machines:
        await lab.Endpoint(machine).start()
    # Steady state, longer than stableWindowS.
    await asyncio.sleep(8)
    for machine in fleet.machines:
        if (await book(machine, ORDINARY_HEAD))["status"] != 200:
            raise lab.Unavailable("no service of ordinary heads")
    seen = []
    for at in range(ROUNDS):
        head = (LONG_HEAD if at % 2 else MANY_HEADERS) if trouble else ORDINARY_HEAD
        seen += await asyncio.gather(*(book(it, head) for it in fleet.machines))
        await asyncio.sleep(0.1)

    allowed = 5 + len(seen) / 500
    denied = [it for it in seen if isinstance(it["status"], int) and 300 <= it["status"] < 500
              and it["status"] not in (408, 421, 429) and not it["signed"]]
    beside = sum(it["machine"].service == SERVICE for it in denied)
    served = sum(it["status"] == 200 for it in seen)
    statuses = sorted({it["status"] for it in denied})
    fleet.record("result", sent=len(seen), served=served, denied=len(denied), beside_the_service=beside)
    print(f"{len(seen)} bookings, {served} answered 200; {len(denied)} ended with {statuses} of the system's own, "
          f"{beside} of these at machines that host the service; {allowed:.1f} are allowed")
    return 1 if len(denied) > allowed else 0


sys.exit(lab.main(case, __file__))
