"""Stand-ins for the platform's store, runners and clients, and a small deployment of instances.

The instances are separate processes, started with the command of the deploy file. The stand-ins run
in this process and speak HTTP/1.1 over loopback sockets, as the protocol page describes.
"""

import asyncio
import json
import os
import random
import signal
import socket
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(REPOSITORY, "target", "release", "jacinthweir")
ZONES = ["recife", "joao-pessoa", "fortaleza"]
HOST = "site.example"
KEY = "key-of-the-organisation"
HEARTBEAT_S = 1.2

START = time.monotonic()


def now():
    """Returns the seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """What was sent, answered and run, in the order of events."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{now():9.3f} s  {text}\n")

    def close(self):
        self.file.close()


# Below the ports that the system gives to outgoing connections, which could take one while a
# listener is closed.
PORTS = range(12_000, 30_000)
GIVEN_PORTS = set()


def free_port():
    while True:
        port = random.choice(PORTS)
        if port in GIVEN_PORTS:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        GIVEN_PORTS.add(port)
        return port


async def read_head(reader):
    """Returns the start line and the headers of a message, or `None` at the end of the connection."""
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
    return lines[0], headers


async def read_request(reader):
    """Returns method, target, headers and body of a request, or `None` at the end."""
    head = await read_head(reader)
    if head is None:
        return None
    start, headers = head
    method, target, _ = start.split(" ", 2)
    try:
        body = await read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return method, target, headers, body


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            chunk = await read_chunk(reader)
            if not chunk:
                return body
            body += chunk
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_chunk(reader):
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    chunk = await reader.readexactly(size)
    await reader.readexactly(2)
    return chunk


def response(status, headers, body):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        except OSError:
            pass
    writer.transport.abort()


class Server:
    """A listener on a loopback address that can be closed and opened again."""

    def __init__(self):
        self.port = free_port()
        self.listener = None
        self.writers = set()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def open(self):
        self.listener = await asyncio.start_server(
            self._accept, "127.0.0.1", self.port, limit=1 << 20, backlog=1024
        )

    def close(self):
        """Refuses new connections and resets the open ones."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for writer in list(self.writers):
            reset(writer)

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.connection(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's metadata store."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.objects = {}
        self.events = []
        self.revision = 100
        self.era = 0
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "finalizers": [], "deleting": False}
        stored = {"metadata": meta, "spec": spec, "status": None}
        self.objects[kind, name] = stored
        self._publish(kind, stored, False)
        return stored

    def remove(self, kind, name):
        stored = self.objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            self._publish(kind, stored, True)
        return self.revision

    def _publish(self, kind, stored, deleted):
        event = {"object": json.loads(json.dumps(stored)), "deleted": deleted}
        self.events.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self):
        return self.revision, json.loads(json.dumps([[list(k), v] for k, v in self.objects.items()]))

    def restore(self, copy):
        """Comes back from a copy: later writes are lost, and their revisions are given out again."""
        self.revision, objects = copy
        self.objects = {tuple(key): stored for key, stored in objects}
        self.events = [e for e in self.events if e[0] <= self.revision]
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def connection(self, reader, writer):
        while True:
            request = await read_request(reader)
            if request is None:
                return
            status, answer = await self.handle(*request)
            headers = {"Content-Type": "application/json", "Store-Era": self.era}
            writer.write(response(status, headers, json.dumps(answer).encode()))
            await writer.drain()

    async def handle(self, method, target, headers, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = url.path.strip("/").split("/")
        kind, name = parts[2], parts[3] if len(parts) > 3 else None
        if method == "GET" and name is None and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("waitMs", "0")))
        if method == "GET" and name is None:
            found = sorted((n, o) for (k, n), o in self.objects.items() if k == kind)
            items = [o for n, o in found if n > query.get("after", "")]
            return 200, {"items": items, "truncated": False, "asOf": self.revision}
        if method == "GET":
            stored = self.objects.get((kind, name))
            return (200, stored) if stored else (404, {})
        return self.write(method, kind, name, query, json.loads(body or b"{}"))

    def write(self, method, kind, name, query, sent):
        meta = sent.get("metadata", {})
        if method == "POST":
            if (kind, meta["name"]) in self.objects:
                return 409, self.objects[kind, meta["name"]]
            return 201, self.put(kind, meta["name"], sent.get("spec"))
        stored = self.objects.get((kind, name))
        if stored is None:
            return 404, {}
        expected = meta.get("revision", query.get("revision"))
        if expected is not None and int(expected) != stored["metadata"]["revision"]:
            return 409, stored
        if method == "DELETE":
            self.remove(kind, name)
            return 200, stored
        return 200, self.put(kind, name, sent.get("spec"))

    async def watch(self, kind, revision, wait_ms):
        era, until = self.era, time.monotonic() + wait_ms / 1e3
        if revision > self.revision:
            return 410, {}
        while True:
            found = [e for at, k, e in self.events if k == kind and at > revision]
            left = until - time.monotonic()
            if self.era != era:
                return 410, {}
            if found or left <= 0:
                return 200, {"events": found, "asOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Runner(Server):
    """A runner. `run(runner, request, reader, writer)` answers the requests that it runs."""

    def __init__(self, record, store, ident, service, zone, run, kind=None):
        super().__init__()
        self.record, self.store = record, store
        self.id, self.service, self.zone, self.kind = ident, service, zone, kind
        self.run = run
        self.born = int(time.time() * 1e3)
        self.layers = None
        self.orders = 0
        self.sequence = 0
        self.registered = False
        self.arrivals = []
        self.running = 0

    def entry(self):
        self.sequence += 1
        entry = {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": 64, "state": "ready", "coldLeftMs": 0, "sequence": self.sequence,
            "born": self.born,
        }
        if self.kind is not None:
            entry |= {"stage": "combined", "models": [], "kind": self.kind, "layers": self.layers}
        return entry

    def check_in(self):
        self.store.put("servers", self.id, self.entry())

    async def start(self):
        await self.open()
        self.registered = True
        self.check_in()
        self.beats = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.registered and self.store.listener is not None:
                self.check_in()

    def crash(self):
        """Ends without a word: connections are reset, nothing listens, the check-ins stop."""
        self.registered = False
        self.close()
        self.record.line(f"runner {self.id} crashes")

    async def connection(self, reader, writer):
        while True:
            request = await read_request(reader)
            if request is None:
                return
            method, target, headers, body = request
            if target == "/api/report":
                writer.write(self.report())
            elif target == "/api/order":
                writer.write(await self.order(json.loads(body)))
            elif target == "/health":
                writer.write(response(200, {"X-Jacinthweir-Instance-Id": self.id}, b""))
            elif headers.get("x-jacinthweir-expect-instance", self.id) != self.id:
                writer.write(response(421, {"X-Jacinthweir-Instance-Id": self.id}, b""))
            else:
                await self.serve(request, reader, writer)
            await writer.drain()

    async def serve(self, request, reader, writer):
        ident = request[2].get("x-jacinthweir-request-id", "")
        self.arrivals.append((now(), ident))
        self.record.line(f"request {ident} reaches runner {self.id}")
        self.running += 1
        try:
            await self.run(self, request, reader, writer)
        finally:
            self.running -= 1

    def report(self):
        report = {
            "stage": "combined", "models": [], "busy": False, "sequence": self.orders, "queued": 0,
            "running": self.running, "kvUsed": 0, "kvTotal": 100000, "handles": 0, "pace": 1.0,
            "born": self.born, "layers": self.layers, "kind": self.kind, "stalled": [],
        }
        return response(200, {"Content-Type": "application/json"}, json.dumps(report).encode())

    async def order(self, order):
        if order["operation"] != "place":
            return response(404, {}, b"{}")
        if order.get("precondition", self.orders) != self.orders:
            return response(409, {}, b"{}")
        layers = {"from": order["from"], "target": order["target"]}
        if layers == self.layers:
            return response(200, {}, b"{}")
        self.orders += 1
        self.layers = layers
        self.check_in()
        return response(202, {}, b"{}")


def receipt(runner, request):
    """Returns the headers of a runner's answer."""
    ident = request[2].get("x-jacinthweir-request-id", "")
    return {"X-Jacinthweir-Request-Id": ident, "X-Jacinthweir-Server-Stamp": f"{runner.id}.{ident}"}


def configuration(version, routes, services):
    """Returns a desired state of the operator."""
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "org", "apiKeys": [KEY], "priority": 1}],
    }


def route(name, kind, service, timeout_ms, aim_ms, attempts, **more):
    return {"name": name, "host": HOST, "pathPrefix": f"/{name}/", "kind": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": aim_ms, "priority": 1, "service": service,
            "maxAttempts": attempts, "public": False, "sticky": kind == "streaming",
            "resumable": False} | more


def pool(name, layers, kinds):
    """Returns a service whose runners hold ranges of a model's layers."""
    return {"name": name, "healthPath": "/health", "maxConnections": 1058, "engine": {
        "slots": 192, "kvCapacityTokens": 100000, "kvTokenBytes": 590000, "linkMbps": 400000.0,
        "stride": 4, "models": [{"name": "m", "pace": 1.0, "loadS": 0.1, "warmS": 0.1}],
        "step_ms": 1.02, "per_seq_ms": 0.00459, "context_per_k": 0.00615, "read_per_s": 164000.0,
        "pairs_per_m": 0.199, "chunk": 512, "report_lag_ms": 200.0, "loads_at_once": 6,
        "usual": {"prompt": 775, "answer": 220}, "layers": layers, "layerMb": 1750.0,
        "activationBytes": 29500, "pipeMbps": 16000.0, "kinds": kinds}}


def plain(name):
    return {"name": name, "healthPath": "/health", "maxConnections": 96}


class Instance:
    """An instance of the system, as a separate process."""

    def __init__(self, record, folder, name, zone, store, seeds=(), runner_addresses=None):
        self.record, self.name, self.zone = record, name, zone
        self.callers, self.ready, self.entry = free_port(), free_port(), free_port()
        self.peers, self.operators = free_port(), free_port()
        self.path = os.path.join(folder, f"{name}.jsonc")
        self.log = os.path.join(folder, f"{name}.log")
        self.process = None
        self.settings = {
            "name": name, "failure_domain": zone,
            "listen": {f: f"127.0.0.1:{getattr(self, f)}"
                       for f in ("callers", "ready", "entry", "peers", "operators")},
            "seeds": list(seeds), "store": store.address,
            "processor": {"share": 0.25, "speed": 1},
            "bounds": {"revocation_ms": 5000, "shutdown_s": 8, "entry_ttl_ms": 1000,
                       "repeat_ratio": 0.2, "repeat_slack": 196, "repeat_window_s": 10},
            "log": {"level": "info", "format": "json"},
        }
        if runner_addresses:
            self.settings["runner_addresses"] = runner_addresses

    async def start(self):
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        log = open(self.log, "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "--relay-settings", self.path, stdout=log, stderr=log, cwd=REPOSITORY
        )
        log.close()

    async def is_ready(self):
        try:
            got = await asyncio.wait_for(send(self.ready, "GET", "/api/ready", {}), 1)
            return got.status == 200
        except asyncio.TimeoutError:
            return False

    async def wait_until_ready(self, limit_s=20):
        until = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > until:
                raise RuntimeError(f"{self.name} is not ready")
            await asyncio.sleep(0.05)

    async def dump(self):
        got = await asyncio.wait_for(send(self.operators, "GET", "/dump", {}), 2)
        return json.loads(got.body) if got.status == 200 else {}

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Answer:
    """What a client got: status 0 without an answer; `complete` if the answer ended properly."""

    def __init__(self):
        self.status, self.headers, self.body, self.complete = 0, {}, b"", False


async def send(port, method, path, headers, body=b""):
    """Sends a request on a new connection and reads the answer."""
    got = Answer()
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
    except OSError:
        return got
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
        head = await read_head(reader)
        if head is None:
            return got
        start, got.headers = head
        got.status = int(start.split(" ")[1])
        if got.headers.get("transfer-encoding", "").lower() == "chunked":
            while chunk := await read_chunk(reader):
                got.body += chunk
        else:
            got.body = await reader.readexactly(int(got.headers.get("content-length", "0")))
        got.complete = True
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()
    return got


class Client:
    """Sends requests with a key and an identifier of their own, and records what they get."""

    def __init__(self, record):
        self.record = record
        self.count = 0
        self.sent = {}
        self.answers = {}

    async def request(self, instance, method, path, deadline_ms, more=(), limit_s=30, body=b""):
        self.count += 1
        ident = f"r{self.count}"
        headers = {"X-Jacinthweir-Request-Id": ident, "X-Jacinthweir-Key": KEY,
                   "X-Jacinthweir-Deadline-Ms": deadline_ms} | dict(more)
        self.sent[ident] = now()
        self.record.line(f"request {ident} {method} {path} sent to {instance.name}")
        try:
            got = await asyncio.wait_for(
                send(instance.callers, method, path, headers, body), limit_s
            )
        except asyncio.TimeoutError:
            got = Answer()
            self.record.line(f"request {ident}: the client gives up")
        self.answers[ident] = (now(), got)
        ended = "complete" if got.complete else "not complete"
        self.record.line(f"request {ident} answered {got.status}, {ended}")
        return ident, got


class Deployment:
    """A store and instances in three zones; runners are added by the script."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.store = Store(self.record)
        self.instances = []
        self.runners = []

    def add_instance(self, runner_addresses=None):
        number = len(self.instances)
        zone = ZONES[number % len(ZONES)]
        seeds = [f"127.0.0.1:{i.peers}" for i in self.instances[:3]]
        name = f"front-{zone}-{number // len(ZONES) + 1}"
        instance = Instance(self.record, self.folder.name, name, zone, self.store, seeds,
                            runner_addresses)
        self.instances.append(instance)
        return instance

    async def add_runner(self, ident, service, zone, run, kind=None):
        runner = Runner(self.record, self.store, ident, service, zone, run, kind)
        self.runners.append(runner)
        await runner.start()
        return runner

    async def start_instances(self):
        for instance in self.instances:
            await instance.start()
        for instance in self.instances:
            await instance.wait_until_ready()

    async def end(self):
        for instance in self.instances:
            await instance.kill()
        for runner in self.runners:
            runner.close()
        self.store.close()
        self.record.close()
        self.folder.cleanup()


def main(case, record_path):
    """Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.path.exists(PROGRAM):
        print("the program of the deploy file is not built")
        raise SystemExit(2)

    async def play():
        deployment = Deployment(record_path)
        try:
            verdict = await asyncio.wait_for(case(deployment, trouble), 110)
            deployment.record.line(verdict[1])
            print(verdict[1])
            return 1 if verdict[0] else 0
        except Exception as error:  # Whatever went wrong, the case could not run.
            deployment.record.line(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            await deployment.end()

    code = asyncio.run(play())
    raise SystemExit(code)
