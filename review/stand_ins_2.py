"""Stand-ins for the users' platform, and a small fleet of nodes on loopback.

Written from the users' pages: the store (keys, watches, conditional writes), application endpoints with their
heartbeats, the readiness probe, the operator and clients. Everything runs in one process; only the nodes are processes
of their own, started with the command and the settings template of `deploy/`. Each machine has a loopback address of its
own and reaches the store at an address of its own, so that the store can tell the machines apart.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
LATENCY_S = 0.004
HEARTBEAT_S = 1.5
PROBE_S = 1.0
REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           503: "Service Unavailable"}


def render(template, fields):
    """Fills in a settings template by the rules of the users' page on deployment."""
    def find(name, scope):
        if name in (".", "@", ","):
            return scope[0].get(name, "")
        for level in scope:
            value = level
            for part in name.split("."):
                if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                elif isinstance(value, dict) and part in value:
                    value = value[part]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def fill(text, scope):
        section = re.search(r"{{([#^])([^}]+)}}(.*?){{/\2}}", text, re.S)
        if section:
            sign, name, inner = section.groups()
            value, parts = find(name, scope), []
            if sign == "^":
                parts = [fill(inner, scope)] if not value else []
            elif isinstance(value, (list, dict)):
                entries = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
                for index, (key, entry) in enumerate(entries):
                    comma = "," if index + 1 < len(entries) else ""
                    level = {".": entry, "@": key, ",": comma}
                    parts.append(fill(inner, [level, *scope]))
            elif value:
                parts = [fill(inner, scope)]
            return fill(text[:section.start()], scope) + "".join(parts) + fill(text[section.end():], scope)

        def replace(match):
            value = find(match.group(1), scope)
            if value is None:
                return ""
            if isinstance(value, bool):
                return str(value).lower()
            if isinstance(value, list):
                return ",".join(map(str, value))
            return json.dumps(value) if isinstance(value, dict) else str(value)
        return re.sub(r"{{([^}#^/]+)}}", replace, text)

    return fill(template, [fields])


async def read_message(reader):
    """Reads one HTTP message with a length or none; returns its first line, headers and body, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += part[:-2]
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def message(status, body=b"", headers=()):
    """Bytes of a response."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(address, method, path, headers=(), body=b"", timeout=1.0):
    """One request on a connection of its own; returns status, headers and body, or a word that says what failed."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            answer = await read_message(reader)
    except TimeoutError:
        return "no answer", {}, b""
    except OSError as error:
        return f"connection: {type(error).__name__}", {}, b""
    finally:
        if writer:
            writer.close()
    if answer is None:
        return "closed", {}, b""
    return int(answer[0].split()[1]), answer[1], answer[2]


class Store:
    """The platform's store: linearizable, loses nothing, one revision counter, and an address for each machine."""

    def __init__(self):
        self.items, self.history, self.revision = {}, [], 1
        self.changed = asyncio.Event()
        self.rejected, self.watching, self.calls = set(), {}, {}

    def put(self, key, value):
        """Writes a key; the operator's calls end here."""
        self.revision += 1
        before = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "createRevision": before["createRevision"] if before else self.revision, "lease": 0}
        self.items[key] = item
        self.history.append(item)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    async def serve(self, machine, reader, writer):
        while (request := await read_message(reader)) is not None:
            self.calls[machine] = self.calls.get(machine, 0) + 1
            await asyncio.sleep(LATENCY_S)
            status, body = (503, None) if machine in self.rejected else await self.answer(machine, request)
            try:
                writer.write(message(status, json.dumps(body).encode() if body is not None else b""))
                await writer.drain()
            except ConnectionError:
                break
        writer.close()

    async def answer(self, machine, request):
        method, target, _ = request[0].split(" ")
        path, _, query = target.partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        if path == "/-/kv-key":
            item = self.items.get(fields["key"])
            found = {**item, "storeRevision": self.revision} if item else {"storeRevision": self.revision}
            return (200 if item else 404), found
        if path == "/-/kv-watch":
            return await self.watch(machine, fields)
        if path == "/-/kv-txn" and method == "POST":
            return self.commit(json.loads(request[2]))
        return 404, None

    async def watch(self, machine, fields):
        prefix, after = fields["prefix"], int(fields["after"])
        end = time.monotonic() + int(fields["waitMs"]) / 1000
        self.watching.setdefault(prefix, {}).setdefault(machine, 0)
        self.watching[prefix][machine] += 1
        try:
            while True:
                events = [it for it in self.history if it["key"].startswith(prefix) and it["revision"] > after]
                left = end - time.monotonic()
                if machine in self.rejected:
                    return 503, None
                if events or left <= 0:
                    return 200, {"events": events, "storeRevision": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), min(left, 0.05))
                except TimeoutError:
                    pass
        finally:
            self.watching[prefix][machine] -= 1

    def commit(self, change):
        rows = change.get("expectedRevision", [])
        current = {row["key"]: self.items.get(row["key"]) for row in rows}
        if any((current[row["key"]] or {"revision": 0})["revision"] != row["revision"] for row in rows):
            return 412, {"items": [it for it in current.values() if it], "storeRevision": self.revision}
        if any(row["key"].startswith(("op/", "servers/")) for row in change.get("writes", [])):
            return 403, None
        for row in change.get("writes", []):
            self.put(row["key"], base64.b64decode(row["value"]))
        return 200, {"revision": self.revision}


class Endpoint:
    """A sound application endpoint: answers each request, announces itself, and records what it runs."""

    def __init__(self, fleet, machine):
        self.fleet, self.machine, self.id = fleet, machine, f"i-{random.randbytes(4).hex()}"
        self.phase, self.sequence, self.work_s, self.server = "ready", 0, 0.02, None
        self.born_ms = int(time.time() * 1000)
        self.running, self.writers, self.acknowledged = set(), set(), []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.machine.ip, self.fleet.ports["app"])
        self.beats = asyncio.create_task(self.beat())

    def crash(self):
        """Ends without a word: all connections break and no port listens."""
        self.beats.cancel()
        self.server.close()
        for task in list(self.running):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    async def announce(self):
        """Sends one heartbeat; returns whether it was acknowledged."""
        self.sequence += 1
        beat = {"service": self.machine.service, "address": f"{self.machine.ip}:{self.fleet.ports['app']}",
                "zone": self.machine.zone, "version": "v1", "capacity": 9, "phase": self.phase,
                "coldRemainingS": 0, "sequence": self.sequence, "born": self.born_ms}
        return await self.post("instances.heartbeat", beat)

    async def deregister(self):
        self.sequence += 1
        return await self.post("instances.deregister", {"sequence": self.sequence, "born": self.born_ms})

    async def post(self, name, body):
        address = (self.machine.ip, self.fleet.ports["control"])
        status, _, _ = await call(address, "POST", f"/-/rpc?call={name}&of={self.id}", [("Host", "node")],
                                  json.dumps(body).encode())
        return status == 200

    async def beat(self):
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                task = asyncio.current_task()
                self.running.add(task)
                try:
                    answer = await self.answer(request)
                finally:
                    self.running.discard(task)
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request):
        line, headers, _ = request
        attempt = headers.get("attempt-id", "")
        echo = [("Attempt-Id", attempt)]
        if headers.get("target-instance") not in (None, self.id):
            return message(421, b"", [*echo, ("Instance-Id", self.id), ("Not-Executed", "1")])
        self.fleet.note("run", attempt, f"{line.split()[1]} by {self.machine.service} {self.id} at {self.machine.name}")
        self.fleet.runs.append((time.monotonic(), attempt, self.machine.service, self.id))
        await asyncio.sleep(self.work_s)
        return message(200, f"{self.machine.service} {line.split()[1]}\n".encode(),
                       [*echo, ("Response-Signature", f"{self.id}.{attempt}")])


class Machine:
    def __init__(self, name, zone, service, ip, store_ip):
        self.name, self.zone, self.service, self.ip, self.store_ip = name, zone, service, ip, store_ip
        self.endpoint, self.process, self.ready = None, None, False


class Fleet:
    """Machines with their nodes and endpoints, beside one store."""

    def __init__(self, layout, bounds, record):
        """`layout` has a row of zone, service and number of machines for each group; `bounds` are those of the page."""
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="medlar-review-"))
        self.bounds, self.record, self.runs, self.started = bounds, open(record, "w"), [], time.monotonic()
        self.store, self.machines, self.tasks = Store(), [], []
        net = random.randint(20, 250)
        counts = {}
        for zone, service, count in layout:
            for _ in range(count):
                counts[zone] = counts.get(zone, 0) + 1
                zone_index = list(counts).index(zone) + 1
                address = f"127.{net}.{zone_index}.{counts[zone]}"
                store = f"127.{net}.{100 + zone_index}.{counts[zone]}"
                self.machines.append(Machine(f"sidecar-{zone}-{counts[zone]}", zone, service, address, store))
        self.zones = list(counts)
        self.ports = self.find_ports()

    def find_ports(self):
        """Ports that are free at each address of the fleet."""
        names = ["readiness", "outbound", "inbound", "control", "app", "store"]
        while True:
            base = random.randint(20_000, 30_000)
            ports = {name: base + index for index, name in enumerate(names)}
            ports["range"] = [base + 20, base + 35]
            wanted = [*(ports[name] for name in names), *ports["range"]]
            try:
                for machine in self.machines:
                    for ip in (machine.ip, machine.store_ip):
                        for port in wanted:
                            with socket.socket() as probe:
                                probe.bind((ip, port))
                return ports
            except OSError:
                continue

    def note(self, what, subject, text):
        """Writes one line to the record, with the seconds since the start."""
        print(f"{time.monotonic() - self.started:8.3f} {what:9} {subject:18} {text}", file=self.record, flush=True)

    def settings(self, machine):
        ip, ports = machine.ip, self.ports
        listen = {name: f"{ip}:{ports[name]}" for name in ("inbound", "outbound", "readiness", "control")}
        fields = {
            "node": machine.name, "role": "node", "ip": ip, "zone": machine.zone, "region": "aragon",
            "appAddress": f"{ip}:{ports['app']}", "service": machine.service,
            "limits": {"cpuShare": 0.2, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "portRange": ports["range"], "listen": listen, "zones": {zone: "aragon" for zone in self.zones},
            "provider": {"address": f"{machine.store_ip}:{ports['store']}"}, "bounds": self.bounds,
        }
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]
        path = self.folder / f"{machine.name}.yaml"
        path.write_text(render((ROOT / role["template"]).read_text(), fields))
        return [str(path) if word == "/etc/medlarusher/boot.toml" else word for word in role["run"].split()]

    def start_node(self, machine):
        command = self.settings(machine)
        log = open(self.folder / f"{machine.name}.log", "a")
        environment = {"PATH": os.environ.get("PATH", ""), "MEDLARUSHER_BOOT": command[-1]}
        machine.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log)

    async def start(self, configuration, empty=()):
        """Starts everything and waits until all nodes are ready; machines in `empty` have no endpoint yet."""
        self.store.put("op/config", json.dumps(configuration).encode())
        for machine in self.machines:
            def handle(reader, writer, name=machine.name):
                return self.store.serve(name, reader, writer)
            await asyncio.start_server(handle, machine.store_ip, self.ports["store"])
            self.start_node(machine)
        for machine in self.machines:
            if machine not in empty:
                machine.endpoint = Endpoint(self, machine)
                await machine.endpoint.start()
            self.tasks.append(asyncio.create_task(self.probe(machine)))
        for _ in range(300):
            await asyncio.sleep(0.1)
            if all(machine.ready for machine in self.machines):
                self.note("fleet", "all", "nodes are ready")
                return True
        return False

    async def probe(self, machine):
        """The platform's readiness probe."""
        while True:
            status, _, _ = await call((machine.ip, self.ports["readiness"]), "GET", "/-/readyz", [("Host", "node")])
            machine.ready = status == 200
            await asyncio.sleep(PROBE_S)

    async def request(self, machine, method, host, path, deadline_ms, body=b"", headers=()):
        """One attempt of a client at a machine; returns what came back."""
        attempt = random.randbytes(8).hex()
        sent = time.monotonic()
        self.note("sent", attempt, f"{method} {host}{path} to {machine.name}")
        fields = [("Host", host), ("Attempt-Id", attempt), ("Deadline-Ms", deadline_ms), *headers]
        status, answer_headers, answer = await call((machine.ip, self.ports["outbound"]), method, path, fields, body,
                                                    deadline_ms / 1000)
        self.note("answered", attempt, f"{status} {answer.decode('latin-1').strip()}")
        return sent, attempt, status, answer_headers, answer

    def stop(self):
        """Ends all processes that were started, and removes the temporary folder."""
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def run(main):
    """Runs a script's main function, ends on SIGTERM and after 115 s, and exits with its result."""
    async def bounded():
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(115):
            return await main()

    try:
        code = asyncio.run(bounded())
    except (TimeoutError, asyncio.CancelledError) as error:
        print(f"not run to its end: {type(error).__name__}")
        code = 2
    except Exception:
        traceback.print_exc()
        code = 2
    # Streams that are still open would otherwise complain about the closed event loop.
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


def configuration(version, routes, services):
    """A configuration as the operator writes it; each route is host, prefix, kind, services with weights, rank."""
    hosts = {}
    for host, prefix, kind, targets, priority, timeout_s, aim_s in routes:
        action = {"timeoutS": timeout_s, "maxAttempts": 2}
        if len(targets) == 1:
            action["service"] = next(iter(targets))
        else:
            action["weightedBackends"] = [{"service": name, "weight": weight} for name, weight in targets.items()]
        policy = {"name": f"r-{len(hosts)}-{prefix.strip('/')}", "kind": kind, "targetLatencyS": aim_s,
                  "priority": priority, "public": False, "match": {"prefix": prefix}, "action": action}
        hosts.setdefault(host, []).append(policy)
    return {
        "version": f"{version:08x}",
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
        "listeners": [{"hostname": host, "policies": policies} for host, policies in hosts.items()],
        "clusters": [{"name": name, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": False}
                     for name in services],
    }
