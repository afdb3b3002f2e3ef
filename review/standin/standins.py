"""Stand-ins of the platform's store, of backend servers and of clients, as PROTOCOL.md describes them.

Everything runs in one event loop on loopback addresses. Only the gateway is the project's own program.
"""

import asyncio
import base64
import json
import os
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
GATEWAY = [os.path.join(ROOT, "target/bin/mustardtrail-gateway"), "--policy=deploy/gateway.ini"]

# Figures of the sheet of bluemahoe-pay in SYSTEM.md.
BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_timeout_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
    "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "downgrade_slack_ms": 250, "max_stretch_ms": 5000,
    "strict_revoke": True, "revoke_ms": 5000, "retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_budget_slack": 104,
    "cold_over": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "recovery_s": 12, "pass_ms": 120, "retry_after_s": 0,
    "stall_ms": 1500, "hold_max_ms": 20000, "free_ms": 4000, "idle_max_ms": 9000,
}
MAX_DESCRIPTORS = 4100


class Record:
    """Writes what was sent, answered and run to record.txt, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", buffering=1)
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def write(self, text):
        self._file.write(f"{self.now():9.3f} {text}\n")


async def read_head(reader):
    """Returns the first line and the header fields in lower case, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_message(reader):
    head = await read_head(reader)
    if head is None:
        return None
    try:
        body = await reader.readexactly(int(head[1].get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head[0], head[1], body


def message(first_line, fields, body=b""):
    head = first_line + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return head.encode("latin-1") + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


class Listener:
    """An HTTP/1.1 server; `serve` gets the request and the writer, and returns whether the connection stays open."""

    def __init__(self, serve):
        self._serve = serve
        self._server = None
        self.writers = set()
        self.address = None

    async def start(self, host="127.0.0.1"):
        self._server = await asyncio.start_server(self._on_connection, host, 0, backlog=512)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()[:2]

    async def _on_connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None or not await self._serve(request, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """Ends as a process does: the listening socket and all connections are closed."""
        if self._server:
            self._server.close()
        for writer in list(self.writers):
            writer.close()


class Store:
    """The platform's store: list, watch, and a restore from an older copy."""

    def __init__(self, record):
        self._record = record
        self._listener = Listener(self._serve)
        self._items = {}
        self._history = []
        self._changed = asyncio.Event()
        self.revision = 100
        self.era = 0
        self.is_away = False
        self.watch_arrived = asyncio.Event()
        self._silent = set()

    async def start(self):
        await self._listener.start()
        self.address = self._listener.address

    def close(self):
        self._listener.close()

    def _publish(self, item):
        self._history.append(item)
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        created = self._items[key]["created"] if key in self._items else self.revision
        self._items[key] = {"key": key, "value": text, "revision": self.revision, "created": created, "lease": 0}
        self._publish(self._items[key])
        self._record.write(f"store acknowledges {key} revision={self.revision} era={self.era}")

    def remove(self, key):
        if self._items.pop(key, None):
            self.revision += 1
            self._publish({"key": key, "revision": self.revision, "removed": True})
            self._record.write(f"store acknowledges the removal of {key} revision={self.revision} era={self.era}")

    def copy(self):
        return dict(self._items), list(self._history), self.revision

    def restore(self, copied):
        self._items, self._history, self.revision = dict(copied[0]), list(copied[1]), copied[2]
        self.era += 1
        self._record.write(f"store is back from a copy revision={self.revision} era={self.era}")

    def silence_connections(self):
        """The connections that are open now go silent for good, without a reset; new ones work."""
        self._silent.update(self._listener.writers)
        self._record.write(f"store: {len(self._silent)} open connections go silent")

    async def _serve(self, request, writer):
        first_line, _, _ = request
        target = first_line.split(" ")[1]
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        if path == "/api/kv-watch":
            self.watch_arrived.set()
            self.watch_arrived = asyncio.Event()
        if self.is_away:
            await asyncio.sleep(60)
            return False
        if path == "/api/kv-range":
            status, reply = 200, self._list(query)
        elif path == "/api/kv-watch":
            status, reply = await self._watch(query)
        else:
            status, reply = 404, {}
        if self.is_away or status == 0 or writer in self._silent:
            await asyncio.sleep(60)  # A connection on which a response is lost returns nothing further.
            return False
        fields = {"Content-Type": "application/json", "Store-Era": self.era}
        writer.write(message(f"HTTP/1.1 {status} X", fields, json.dumps(reply).encode()))
        await writer.drain()
        return True

    def _list(self, query):
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        found = [item for key, item in sorted(self._items.items()) if key.startswith(prefix) and key > after]
        return {"items": found, "has_more": False, "store_revision": self.revision}

    async def _watch(self, query):
        after = int(query.get("after", "0"))
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        era = self.era
        while True:
            if era != self.era or self.is_away:
                return 0, {}
            if after > self.revision:
                return 410, {}
            events = [item for item in self._history if item["revision"] > after]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), min(left, 0.1))
            except asyncio.TimeoutError:
                pass


class Server:
    """A backend server of a plain service."""

    def __init__(self, record, name, service, zone="kgn-a", slots=16, work_s=0.015):
        self._record = record
        self._listener = Listener(self._serve)
        self.name, self.service, self.zone, self.slots, self.work_s = name, service, zone, slots, work_s
        self.born = int(time.time() * 1000)
        self.runs = []
        self.logs_runs = True

    async def start(self):
        await self._listener.start()
        self.address = self._listener.address

    def close(self):
        self._listener.close()

    def entry(self, state="ready", seq=1):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": state, "cold_left_ms": 0, "seq": seq, "born": self.born}

    async def _serve(self, request, writer):
        first_line, fields, _ = request
        attempt = fields.get("attempt-id", "")
        answer = {"Attempt-Id": attempt, "Instance-Id": self.name, "Keep-Alive": "timeout=60"}
        if fields.get("expect-instance", self.name) != self.name:
            writer.write(message("HTTP/1.1 421 Misdirected Request", {**answer, "Not-Run": 1}))
            return True
        target = first_line.split(" ")[1]
        if target == "/healthz":
            writer.write(message("HTTP/1.1 200 OK", answer))
            return True
        if target == "/api/report":
            body = json.dumps({"stage": "both", "models": [], "busy": False, "seq": 1, "queued": 0, "running": 0, "kv_used": 0,
                               "kv_total": 0, "handles": 0, "born": self.born}).encode()
            writer.write(message("HTTP/1.1 200 OK", answer, body))
            return True
        self.runs.append((self._record.now(), attempt, fields.get("tenant", "")))
        if self.logs_runs:
            self._record.write(f"server {self.name} runs {attempt} tenant={fields.get('tenant', '')}")
        await asyncio.sleep(self.work_s)
        writer.write(message("HTTP/1.1 200 OK", {**answer, "Response-Stamp": f"stamp-{self.name}-{attempt}"}, b"x" * 800))
        await writer.drain()
        return True


class Gateway:
    """The project's gateway as a process of its own, started with the command of the deploy file."""

    def __init__(self, record, store, zone="kgn-a", node="front-kgn-a-1"):
        self._record, self._store, self._zone, self._node = record, store, zone, node
        # An address of its own, so that scripts beside each other do not take each other's ports.
        self.host = f"127.{64 + os.getpid() % 64}.{os.getpid() // 64 % 256}.10"
        self.front, self.ready, self.control, self.peer = free_ports(self.host)
        self._seeds = [f"{self.host}:{self.control}"]
        self._folder = tempfile.mkdtemp(prefix="mustardtrail-review-")
        self.process = None

    def settings(self, is_first_start):
        zones = {"kgn-a": "jm-south", "kgn-b": "jm-south", "spt-c": "jm-south"}
        return {
            "node": self._node, "role": "entry", "machine_class": "front", "serves": ["front", "control"], "ip": self.host,
            "zone": self._zone, "region": "jm-south", "zones": zones,
            "listen": {"front": f"{self.host}:{self.front}", "ready": f"{self.host}:{self.ready}",
                       "control": f"{self.host}:{self.control}"},
            "internal_ports": [self.peer, self.peer + 15], "seeds": self._seeds, "bootstrap": is_first_start, "fault_counted": False,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": MAX_DESCRIPTORS, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform",
                          "spans"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS,
            "platform": {"address": self._store.address, "form": "read", "writes_per_s": 400, "reads_per_s": 2000,
                         "retention_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000},
        }

    async def start(self, is_first_start=True):
        path = os.path.join(self._folder, "node.json")
        with open(path, "w") as file:
            json.dump(self.settings(is_first_start), file)
        environment = {"MUSTARDTRAIL_CONFIG": path, "PATH": os.environ.get("PATH", ""), "HOME": self._folder}
        log = open(os.path.join(self._folder, "gateway.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *GATEWAY, cwd=ROOT, env=environment, stdout=log, stderr=log,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS - 200, MAX_DESCRIPTORS - 200)))
        log.close()
        self._record.write(f"gateway {self._node} starts pid={self.process.pid}")

    async def is_ready(self):
        try:
            status, _, _ = await ask(self.host, self.ready, "GET", "/api/readyz", {}, timeout=1.0)
        except (OSError, asyncio.TimeoutError):
            return False
        return status == 200

    async def wait_until_ready(self, limit=10.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def copy_log(self, events):
        """Copies the lines of these events from the gateway's log to the record."""
        with open(os.path.join(self._folder, "gateway.log"), errors="replace") as file:
            for line in file:
                if any(f" event={event} " in line for event in events):
                    self._record.write(f"log of {self._node}: {line.strip()}")

    async def signal(self, number):
        self.process.send_signal(number)
        self._record.write(f"gateway {self._node} gets {signal.Signals(number).name}")

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
            self._record.write(f"gateway {self._node} killed")

    def remove_folder(self):
        shutil.rmtree(self._folder, ignore_errors=True)


def free_ports(host):
    """Ports of the caller, readiness and control addresses, and the first of the internal ones, below those that the system gives out."""
    for first in range(20000, 30000, 20):
        opened = []
        try:
            for port in range(first, first + 5):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    each = socket.socket(socket.AF_INET, kind)
                    opened.append(each)
                    each.bind((host, port))
            return first, first + 1, first + 2, first + 3
        except OSError:
            continue
        finally:
            for each in opened:
                each.close()
    raise OSError("no free ports")


async def ask(host, port, method, target, fields, body=b"", timeout=5.0):
    """One request on a connection of its own. Raises OSError where the connection ends without an answer."""
    async def run():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(message(f"{method} {target} HTTP/1.1", {"Host": "h.example", **fields}, body))
            answer = await read_message(reader)
            if answer is None:
                raise ConnectionResetError("closed without an answer")
            return int(answer[0].split(" ")[1]), answer[1], answer[2]
        finally:
            writer.close()
    return await asyncio.wait_for(run(), timeout)


def configuration(version, keys, service="desk", timeout_ms=1000):
    """A configuration like that of surveydesk: one route that may run once, one that may be repeated."""
    route = {"host": "h.example", "timeout_ms": timeout_ms, "target_latency_ms": 100, "priority": 2, "service": service,
             "public": False, "sticky": False, "resumable": False}
    return {
        "version": version,
        "routes": [{**route, "name": "once", "path_prefix": "/once/", "kind": "non_idempotent", "max_attempts": 1},
                   {**route, "name": "again", "path_prefix": "/again/", "kind": "idempotent", "max_attempts": 2}],
        "services": [{"name": service, "health_path": "/healthz", "max_connections": 434, "protocol": "h1", "tls": False,
                      "cold_start_s": 0, "cold_per_s": 0}],
        "tenants": [{"name": name, "api_keys": held} for name, held in keys.items()],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 10000, "idle_timeout_ms": 60000},
    }


def main(case, play):
    """Runs `play(record, has_trouble)`, which returns whether the rule held. Exits with 3 if it was broken: 1 is Python's own error."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # Ends the tasks, which end the processes that they started.
    record = Record(os.path.join(case, "record.txt"))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.access(GATEWAY[0], os.X_OK):
        record.write("the gateway is not built")
        raise SystemExit(2)
    record.write(f"trouble={'yes' if has_trouble else 'no'}")
    try:
        held = asyncio.run(asyncio.wait_for(play(record, has_trouble), 115))
    except Exception as problem:  # The case could not run.
        record.write(f"could not run: {problem!r}")
        raise SystemExit(2)
    record.write("the rule held" if held else "the rule was broken")
    raise SystemExit(0 if held else 3)
