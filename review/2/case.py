"""A configuration grows that machines with slow links need over a second to read: do later versions arrive?"""
import asyncio
import json
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import stand_ins as lab

ZONES = ["zaragoza", "huesca", "tudela"]
OLD, NEW = "huvo11a", "wuno96b"
# The slowest links of the grown deployment sfe-reservas-grown, and the bounds that differ there.
LINK_MBPS = 7.0
BOUNDS = {"ackS": 5, "catchUpS": 6, "drainS": 2.5, "configApplyS": 2.5, "budgetSlack": 162}
CONFIG_APPLY_S = 2.5
# Routes that exist from the start, routes that each growth adds, and the size that the store takes.
IDLE_ROUTES, GROWTHS, VALUE_BYTES = 1_120, (1_600, 1_600), 1_048_576
# Time from the last growth to the cut of the waiting watches, and from there to the operator's next change.
CUT_AFTER_S, CHANGE_AFTER_S = 8.0, 6.0
CHECKED_S = 15.0
# The final fault: all processes are killed, and start again after this time; then, the time to recover.
DOWN_S, RECOVER_S = 1.0, 15.0


def value(version, booking, idle):
    routes = [lab.route("r-book", "/pufi791/", "non_idempotent", booking)]
    routes += [lab.route(f"r-idle{at:04d}", f"/idle{at:04d}/", "idempotent", OLD) for at in range(idle)]
    text = json.dumps(lab.config(version, routes, [OLD, NEW]), separators=(",", ":")).encode()
    if len(text) > VALUE_BYTES:
        raise lab.Unavailable("the store would not take the configuration")
    return text


async def case(folder, trouble):
    fleet = lab.Fleet(folder, ZONES, BOUNDS, LINK_MBPS)
    try:
        return await play(fleet, trouble)
    finally:
        await fleet.close()


async def put(fleet, version, booking, idle):
    text = value(version, booking, idle)
    fleet.store.put("op/config", text)
    fleet.record("config-acknowledged", version=version, routes=idle + 1, bytes=len(text))
    return fleet.now()


async def play(fleet, trouble):
    for zone in ZONES:
        fleet.add_machine(OLD, zone)
        fleet.add_machine(NEW, zone)
    fleet.choose_ports()
    await fleet.start_store()
    idle, version = IDLE_ROUTES, 4
    await put(fleet, version, OLD, idle)
    await fleet.start_nodes()
    for machine in fleet.machines:
        await lab.Endpoint(machine).start()
    await asyncio.sleep(6)
    for growth in GROWTHS if trouble else ():
        idle, version = idle + growth, version + 2
        await put(fleet, version, OLD, idle)
        await asyncio.sleep(CUT_AFTER_S)
    # The watches of all machines are cut once. The store serves every call, before and after.
    fleet.record("watches-cut")
    fleet.store.cut_watches(fleet.machines)
    await asyncio.sleep(CHANGE_AFTER_S)
    for machine in fleet.machines:
        seen = await lab.request(machine, "POST", "/pufi791/1")
        if seen["status"] != 200:
            raise lab.Unavailable(f"no service before the change: {seen['status']}")
    acked_at = await put(fleet, version + 2, NEW, idle)
    await asyncio.sleep(CONFIG_APPLY_S + 0.2)
    checked = []
    while fleet.now() < acked_at + CHECKED_S:
        checked += await asyncio.gather(*(lab.request(it, "POST", "/pufi791/2") for it in fleet.machines))
        await asyncio.sleep(0.5)

    runs = {run["attempt"]: endpoint for endpoint in fleet.endpoints for run in endpoint.runs}
    stale = [it for it in checked if it["attempt"] in runs and runs[it["attempt"]].machine.service == OLD]
    served = sum(it["status"] == 200 for it in checked)
    last = max((it["sent"] for it in stale), default=acked_at) - acked_at
    fleet.record("result", checked=len(checked), served=served, run_by_the_old_service=len(stale),
                 of_machines=len({it["machine"].name for it in stale}), last_sent_after_s=f"{last:.1f}")
    print(f"{len(checked)} bookings, {served} answered 200; {len(stale)} were run by the old service, the last one sent "
          f"{last:.1f} s after the acknowledgement; {CONFIG_APPLY_S:g} s are allowed")
    if served < len(checked) / 2:
        raise lab.Unavailable("too few requests were served")

    await asyncio.gather(*(it.end(signal.SIGKILL) for it in fleet.machines))
    await asyncio.sleep(DOWN_S)
    for machine in fleet.machines:
        await machine.start()
    await asyncio.sleep(RECOVER_S + 0.2)
    after = []
    for _ in range(6):
        after += await asyncio.gather(*(lab.request(it, "POST", "/pufi791/3") for it in fleet.machines))
        await asyncio.sleep(0.5)
    served_after = sum(it["status"] == 200 for it in after)
    fleet.record("result-after-the-final-fault", sent=len(after), served=served_after)
    print(f"over {RECOVER_S:g} s after all processes had been killed and started: {served_after} of {len(after)} bookings served")
    return 1 if stale or served_after < len(after) / 4 else 0


sys.exit(lab.main(case, __file__))
