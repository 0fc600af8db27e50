"""Endpoints send some bodies without end, to clients that read them as fast as their links allow; see claim.txt."""

import asyncio
import os
import pathlib
import random
import socket
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import stand_ins_2
from stand_ins_2 import Endpoint, Fleet, configuration, read_message, run

HOST = "slots.example"
LAYOUT = [("zaragoza", "reservas", 2), ("huesca", "reservas", 2), ("tudela", "reservas", 1),
          ("zaragoza", "planta", 1), ("huesca", "planta", 1), ("tudela", "planta", 1)]
BOUNDS = {"graceS": 6, "drainS": 2, "configApplyS": 2, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 56}
# Of the class `slot-view`: the route's time-out, the time that clients wait, and its requests a second (142, and those of
# `slot-book` at the same service).
TIMEOUT_S, DEADLINE_MS, PER_S = 1.2, 2500, 200
# Share of the endpoints of the service that are faulty, one answer in how many of theirs is, and for how long.
FAULTY_SHARE, FAULTY_ONE_IN, FAULTY_S = 0.6, 34, 5.0
# Rate at which a client can read, in bytes a second: 160 Mbit/s.
CLIENT_RATE = 20_000_000
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Slots(Endpoint):
    """Endpoint that sends some of its bodies without end while it is faulty, until the connection closes."""

    faulty, answers = False, 0

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                self.answers += self.faulty
                if self.faulty and self.answers % FAULTY_ONE_IN == FAULTY_ONE_IN // 2:
                    return await self.send_without_end(request[1].get("attempt-id", ""), writer)
                writer.write(await self.answer(request))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def send_without_end(self, attempt, writer):
        self.fleet.note("run", attempt, f"by {self.machine.service} {self.id} at {self.machine.name}, without end")
        head = ["HTTP/1.1 200 OK", f"Attempt-Id: {attempt}", "Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(head).encode())
        piece, began = b"4000\r\n" + bytes(0x4000) + b"\r\n", time.monotonic()
        try:
            while True:
                writer.write(piece)
                await writer.drain()
        finally:
            self.fleet.endless[attempt] = time.monotonic() - began
            self.fleet.note("closed", attempt, f"by the node, {self.fleet.endless[attempt]:.2f} s after the head")


stand_ins_2.Endpoint = Slots


async def connect(ip, port):
    """A connection with a small window, so that little is under way when the node closes it."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
    connection.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connection, (ip, port))
    return await asyncio.open_connection(sock=connection, limit=65_536)


async def get(fleet, machine):
    """One request of a client; returns its id, its status, how long it took to its end and how it ended."""
    attempt = random.randbytes(8).hex()
    sent, status, end, received = time.monotonic(), None, "", 0
    fleet.note("sent", attempt, f"GET {HOST}/view/1 to {machine.name}")
    writer = None
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            reader, writer = await connect(machine.ip, fleet.ports["outbound"])
            writer.write((f"GET /view/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n"
                          f"Deadline-Ms: {DEADLINE_MS}\r\n\r\n").encode())
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower().split("\r\n")
            status = int(head[0].split()[1])
            length = next((int(line.split(":")[1]) for line in head if line.startswith("content-length:")), None)
            while length is None or received < length:
                part = await reader.read(CLIENT_RATE // 50)
                if not part:
                    break
                received += len(part)
                await asyncio.sleep(len(part) / CLIENT_RATE)
            end = "complete" if received == length else "the node closed the connection"
    except TimeoutError:
        end = "the client's deadline passed"
    except (OSError, asyncio.IncompleteReadError) as error:
        end = f"the connection broke ({type(error).__name__})"
    finally:
        if writer:
            writer.close()
    took = time.monotonic() - sent
    fleet.note("answered", attempt, f"status {status}, {received} bytes, {end} after {took:.2f} s")
    return attempt, status, took, end


async def main():
    fleet = Fleet(LAYOUT, BOUNDS, HERE / "record.txt")
    fleet.endless = {}
    try:
        routes = [(HOST, "/view/", "idempotent", {"reservas": 1}, 0, TIMEOUT_S, 0.4)]
        if not await fleet.start(configuration(7, routes, ["reservas", "planta"])):
            print("the fleet did not start")
            return 2
        await asyncio.sleep(3)
        endpoints = [machine.endpoint for machine in fleet.machines if machine.service == "reservas"]
        tasks, start = [], time.monotonic()
        while (now := time.monotonic() - start) < 2 + FAULTY_S + 3:
            for endpoint in endpoints[:int(len(endpoints) * FAULTY_SHARE)]:
                endpoint.faulty = TROUBLE and 2 <= now < 2 + FAULTY_S
            tasks += [asyncio.create_task(get(fleet, random.choice(fleet.machines))) for _ in range(PER_S // 20)]
            await asyncio.sleep(0.05)
        results = await asyncio.gather(*tasks)
    finally:
        fleet.stop()
    whole = sum(1 for _, status, _, end in results if status == 200 and end == "complete")
    long = [row for row in results if row[2] > TIMEOUT_S]
    late = [row for row in long if row[2] > TIMEOUT_S + 0.5]
    print(f"{len(results)} requests, {whole} answered whole; {len(fleet.endless)} bodies had no end")
    print(f"{len(long)} requests lasted longer than their time-out of {TIMEOUT_S} s; {len(late)} had no final answer 0.5 s after it")
    for attempt, status, took, end in late[:4]:
        held = f"{fleet.endless[attempt]:.2f} s" if attempt in fleet.endless else "not"
        print(f"  {attempt}: status {status}, {end} after {took:.2f} s; its body without end was taken for {held}")
    if whole * 2 < len(results):
        return 2
    return 1 if len(late) >= 8 and len(late) * 4 > len(long) else 0


run(main)
