"""Stand-ins for the users' platform: its store, replicas of models and of plain services, and clients.

They follow the users' pages on the wire. Everything listens on 127.0.0.1, and everything that is
started is ended again by `Fleet.stop`. The entry daemons run as processes of their own, with the
command of the deploy file and settings that are filled from its template.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.2
DRAIN_S = 2.0
CONTACT_S = 3.0
HOST = "desk.example"
KEY = "n2ctnfzs989anu6wsjnb"
ZONES = ["grandi-hall", "hofdi-hall", "vellir-hall"]
ENGINE = {
    "slots": 26, "kv_capacity": 1400000, "kv_token_bytes": 35136, "link_mbps": 400000.0, "stride": 5,
    "models": [
        {"name": "m0", "size": 4, "share": 0.67, "pace": 1.0, "load_s": 16.0, "warm_s": 1.6},
        {"name": "m1", "size": 2, "share": 0.33, "pace": 0.6, "load_s": 12.0, "warm_s": 1.1},
    ],
    "step_ms": 6.07, "per_seq_ms": 0.241, "context_per_k": 0.00488, "read_per_s": 46000.0,
    "pairs_per_m": 0.7, "chunk": 2048, "report_lag_ms": 200.0, "loads_per_s": 4.0,
    "loads_at_once": 6, "delays": [], "usual": {"prompt": 1076, "answer": 116}, "retains": 1,
    "far_x": 3.0, "form_ms": 300.0,
}


def route(prefix, kind, service, timeout_ms, attempts, resumable=False, sticky=False):
    return {
        "name": "r-" + prefix, "host": HOST, "path_prefix": f"/{prefix}/", "kind": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": 500, "priority": 1, "service": service,
        "max_attempts": attempts, "allow_anonymous": False, "sticky": sticky,
        "resumable": resumable, "gap_target_ms": 300,
    }


def configuration(version=1):
    return {
        "version": version,
        "routes": [
            route("draft", "streaming", "llm", 8000, 2, resumable=True, sticky=True),
            route("lookup", "non_idempotent", "registry", 4000, 2),
            route("notice", "idempotent", "registry", 4000, 2),
        ],
        "services": [
            {"name": "llm", "health_path": "/health", "max_conns": 474, "protocol": "h1",
             "tls": False, "engine": ENGINE},
            {"name": "registry", "health_path": "/health", "max_conns": 110, "protocol": "h1",
             "tls": False},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
    }


# --- HTTP ---------------------------------------------------------------------------------------


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return b""


def response(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X"] + [f"{k}: {v}" for k, v in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """A listener whose connections can be cut."""

    def __init__(self):
        self.server = None
        self.writers = set()
        self.port = None

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ", 2)
                await self.handle(method, target, headers, body, writer)
                if headers.get("connection", "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def cut(self):
        """Closes the listener and resets all connections, as the end of the process does."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            try:
                if sock is not None:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            except OSError:
                pass  # It is closed already.
            writer.transport.abort()
        self.writers.clear()


# --- The store ----------------------------------------------------------------------------------


class Store(Server):
    def __init__(self):
        super().__init__()
        self.revision = 100
        self.kinds = {}
        self.events = []
        self.changed = asyncio.Event()
        self.is_down = False

    def _notify(self, kind, name, deleted):
        item = self.kinds[kind][name]
        self.events.append((self.revision, kind, {"object": json.loads(json.dumps(item)), "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        objects = self.kinds.setdefault(kind, {})
        known = objects.get(name)
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "created_at": 0, "finalizers": [], "deleting": False}
        objects[name] = {"metadata": meta, "spec": json.loads(json.dumps(spec)), "status": None}
        self._notify(kind, name, False)
        return objects[name]

    def delete(self, kind, name):
        objects = self.kinds.setdefault(kind, {})
        if name in objects:
            self.revision += 1
            self._notify(kind, name, True)
            del objects[name]

    async def handle(self, method, target, headers, body, writer):
        await asyncio.sleep(0.004)
        if self.is_down:
            raise ConnectionError
        path, _, query = target.partition("?")
        query = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        parts = path.strip("/").split("/")
        status, answer = await self.answer(method, parts, query, body)
        if self.is_down:
            raise ConnectionError
        data = json.dumps(answer).encode()
        writer.write(response(status, {"Content-Type": "application/json"}, data))
        await writer.drain()

    async def answer(self, method, parts, query, body):
        kind = parts[1]
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and len(parts) == 3:
            return (200, objects[parts[2]]) if parts[2] in objects else (404, {})
        if method == "GET" and "watch" in query:
            after = int(query["watch"])
            end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            while True:
                events = [e for r, k, e in self.events if k == kind and r > after]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "current_rev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if method == "GET":
            names = sorted(objects)
            since = query.get("since_rev")
            names = [n for n in names if since is None or n > since]
            page = names[:500]
            return 200, {"items": [objects[n] for n in page], "has_more": len(names) > 500,
                         "current_rev": self.revision}
        if method == "DELETE":
            if parts[2] not in objects:
                return 404, {}
            self.delete(kind, parts[2])
            return 200, {}
        content = json.loads(body)
        meta = content["metadata"]
        if method == "POST":
            if meta["name"] in objects:
                return 409, objects[meta["name"]]
            return 201, self.put(kind, meta["name"], content.get("spec"))
        name = parts[2]
        if name not in objects:
            return 404, {}
        if meta.get("revision") not in (None, objects[name]["metadata"]["revision"]):
            return 409, objects[name]
        return 200, self.put(kind, name, content.get("spec"))


# --- Replicas -----------------------------------------------------------------------------------


class Replica(Server):
    """A replica. `on_begin(replica, request)` may return "crash", or a status with headers."""

    def __init__(self, fleet, index, service, zone, domain=None):
        super().__init__()
        self.fleet = fleet
        self.index = index
        self.service = service
        self.zone = zone
        self.domain = domain
        self.life = 0
        self.staged = []
        self.reaches_store = True
        self.alive = False

    async def start(self):
        await self.listen(self.port or 0)
        self.life += 1
        self.id = f"i-{self.index:03d}-{self.life}"
        self.born = int(time.time() * 1000)
        self.alive = True
        self.seq = 0
        self.group = None
        self.last_model = None
        self.max_epoch = 0
        self.work = 0
        self.write()

    def entry(self):
        entry = {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
                 "version": "v1", "slots": 26 if self.domain else 6, "state": "ready",
                 "cold_remaining_ms": 0, "born": self.born, "seq": self.seq}
        if self.domain:
            entry |= {"stage": "combined", "domain": self.domain} | self.told()
        return entry

    def told(self):
        group = self.group
        models = []
        if group and group["state"] in ("ready", "open", "closing"):
            models = [{"name": group["model"], "version": 1, "adapters": []}]
        told = {"models": models, "staged": list(self.staged)}
        if group:
            told["group"] = {k: group[k] for k in ("name", "epoch", "rank", "state")}
        return told

    def write(self):
        if self.alive and self.reaches_store and not self.fleet.store.is_down:
            self.fleet.store.put("servers", self.id, self.entry())

    def crash(self, back_after):
        """Ends as a crash does: nothing is written, the entry lapses after three heartbeats."""
        self.alive = False
        self.cut()
        gone = self.id

        async def come_back():
            await asyncio.sleep(min(3 * HEARTBEAT_S, back_after))
            self.fleet.store.delete("servers", gone)
            await asyncio.sleep(max(0, back_after - 3 * HEARTBEAT_S))
            if not self.fleet.is_stopping:
                await self.start()

        self.fleet.tasks.append(asyncio.ensure_future(come_back()))

    async def cut_from_store(self, seconds):
        """Partitioned from the store: its entry lapses after three heartbeats, and is back after."""
        self.reaches_store = False
        lapses = 3 * HEARTBEAT_S
        await asyncio.sleep(min(seconds, lapses))
        if seconds > lapses:
            self.fleet.store.delete("servers", self.id)
            await asyncio.sleep(seconds - lapses)
        self.reaches_store = True
        await asyncio.sleep(0.3)
        self.write()

    async def handle(self, method, target, headers, body, writer):
        path = target.split("?")[0]
        expected = headers.get("expect-instance")
        base = {"Replica-Id": self.id}
        if expected and expected != self.id:
            writer.write(response(421, base | {"Not-Executed": "1", "At-Server": self.id} | self.echo(headers)))
        elif path == "/report":
            report = {"stage": "combined", "busy": bool(self.group and self.group["state"] == "joining"),
                      "seq": self.seq, "queued": 0, "running": self.work, "kv_used": 0,
                      "kv_total": 1400000, "handles": 0, "born": self.born} | self.told()
            writer.write(response(200, {"Content-Type": "application/json"}, json.dumps(report).encode()))
        elif path == "/health":
            writer.write(response(200, base))
        elif path == "/order":
            status = self.order(json.loads(body))
            self.fleet.note("order", replica=self.id, order=json.loads(body), status=status)
            writer.write(response(status, base))
        else:
            await self.run(method, target, headers, body, writer)
        await writer.drain()

    def echo(self, headers):
        return {"Request-Id": headers["request-id"]} if "request-id" in headers else {}

    def order(self, order):
        operation, group = order.get("operation"), self.group
        if operation == "stage":
            if order["model"] not in self.staged:
                self.later(self.load_s(order["model"]), self.stage, order["model"])
                return 202
            return 200
        name, epoch = order.get("group"), order.get("epoch", 0)
        is_own = group is not None and (group["name"], group["epoch"]) == (name, epoch)
        if operation == "join":
            if epoch < self.max_epoch or is_own and group["members"] != order["members"]:
                return 412
            if is_own:
                return 202 if group["state"] == "joining" else 200
            model = order["model"]
            if model == self.last_model:
                wait = 0.2
            elif model in self.staged:
                wait = {m["name"]: m["warm_s"] for m in ENGINE["models"]}[model]
            else:
                wait = self.load_s(model)
            self.max_epoch, self.last_model = epoch, model
            self.group = {"name": name, "epoch": epoch, "rank": order["members"].index(self.id),
                          "state": "joining", "model": model, "members": order["members"]}
            self.seq += 1
            self.later(wait, self.become, self.group, "ready", "joining")
            self.write()
            return 202
        if not is_own:
            return 200 if operation == "leave" and group is None else 409
        if operation == "leave":
            self.group = None
            self.seq += 1
            self.write()
            return 200
        if operation == "open":
            if group["state"] == "open":
                return 200
            if group["state"] != "ready" or group["rank"] != 0:
                return 409
            self.seq += 1
            self.later(ENGINE["form_ms"] / 1000, self.become, group, "open", "ready")
            return 202
        if operation == "close":
            if group["state"] != "open":
                return 200 if group["state"] in ("ready", "closing") else 409
            group["state"] = "closing"
            self.seq += 1
            self.later(0.05, self.close, group)
            self.write()
            return 202
        return 400

    def load_s(self, model):
        seconds = {m["name"]: m["load_s"] for m in ENGINE["models"]}[model]
        return seconds / 10 if not self.fleet.has_traffic else seconds

    def later(self, seconds, call, *arguments):
        life = self.life

        async def wait():
            await asyncio.sleep(seconds)
            if self.alive and self.life == life:
                call(*arguments)

        self.fleet.tasks.append(asyncio.ensure_future(wait()))

    def stage(self, model):
        self.staged = [model]
        self.write()

    def become(self, group, state, before):
        if self.group is group and group["state"] == before:
            group["state"] = state
            if state == "ready":
                self.staged = [group["model"]]
            self.write()

    def close(self, group):
        if self.group is not group:
            return
        if self.work:
            self.later(0.05, self.close, group)
        else:
            self.become(group, "ready", "closing")

    def is_whole(self, group):
        by_id = {r.id: r for r in self.fleet.replicas if r.alive}
        for member in group["members"]:
            known = by_id.get(member)
            if known is None or known.group is None or known.group["name"] != group["name"]:
                return False
        return True

    async def run(self, method, target, headers, body, writer):
        request = {"id": headers.get("request-id"), "method": method, "target": target,
                   "headers": headers, "body": body}
        base = self.echo(headers) | {"Weight-Versions": "1"}
        if self.domain:
            group = self.group
            if group is None or group["rank"] != 0 or group["state"] != "open":
                writer.write(response(421, base | {"Not-Executed": "1", "At-Server": self.id}))
                return
            if not self.is_whole(group):
                await asyncio.sleep(5.0)
                group["state"] = "broken"
                self.write()
                writer.write(response(503, base | {"Not-Executed": "1", "At-Server": self.id}))
                return
        self.fleet.arrived(self, request)
        self.work += 1
        try:
            decision = self.fleet.on_arrival(self, request)
            if isinstance(decision, tuple):
                status, more = decision
                writer.write(response(status, base | more))
                return
            base["Response-Signature"] = f"sig-{self.id}-{request['id']}"
            await asyncio.sleep(self.fleet.begin_s)
            self.fleet.began(self, request)
            if decision == "crash":
                self.crash(self.fleet.back_after_s)
                raise ConnectionError
            if not target.startswith("/draft/"):
                writer.write(response(200, base, b"answer " + str(request["id"]).encode()))
                return
            head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
            head += [f"{k}: {v}" for k, v in base.items()]
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
            start = int(headers.get("last-event-id", "-1")) + 1
            for number in range(start, 10):
                event = f"id: {number}\ndata: {request['id']} {number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                await asyncio.sleep(0.03)
            writer.write(b"0\r\n\r\n")
        finally:
            self.work -= 1


# --- The fleet ----------------------------------------------------------------------------------


def fill(template, fields):
    """Fills the gaps of a settings template as the deploy page describes them."""

    def look(name, scopes):
        for scope in scopes:
            value = scope
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    break
            else:
                return value
        return None

    def text(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(text(v) for v in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def render(source, scopes):
        section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)

        def expand(match):
            mark, name, inner = match.groups()
            value = look(name, scopes)
            if mark == "^":
                return "" if value else render(inner, scopes)
            if isinstance(value, list):
                return "".join(render(inner.replace("{{.}}", text(v)).replace("{{,}}", "," if i + 1 < len(value) else ""), [v] + scopes)
                               for i, v in enumerate(value))
            return render(inner, scopes) if value not in (None, False) else ""

        source = section.sub(expand, source)
        return re.sub(r"\{\{([^}#^/]+)\}\}", lambda m: text(look(m.group(1), scopes)), source)

    return render(template, [fields])


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Fleet:
    """The store, replicas and entry daemons of a small deployment."""

    def __init__(self, folder, daemons_per_zone=1):
        self.folder = folder
        self.daemons_per_zone = daemons_per_zone
        self.store = None
        self.replicas = []
        self.daemons = []
        self.tasks = []
        self.notes = []
        self.started_at = time.monotonic()
        self.has_traffic = False
        self.is_stopping = False
        self.begin_s = 0.25
        self.back_after_s = 4.5
        self.arrivals = []
        self.beginnings = []
        self.crashes = []
        self.directory = tempfile.mkdtemp(prefix="review-2-")

    def now(self):
        return round(time.monotonic() - self.started_at, 3)

    def note(self, what, **fields):
        self.notes.append({"at": self.now(), "what": what} | fields)

    def on_arrival(self, replica, request):
        return None

    def arrived(self, replica, request):
        entry = {"at": self.now(), "replica": replica.id, "id": request["id"],
                 "model": request["headers"].get("model"),
                 "parts": request["headers"].get("prompt-prefix", "")}
        self.arrivals.append(entry)
        self.note("arrived", **{k: v for k, v in entry.items() if k != "at"})

    def began(self, replica, request):
        self.beginnings.append({"at": self.now(), "replica": replica.id, "id": request["id"]})

    async def start(self, with_models=True, registry=3):
        self.store = Store()
        await self.store.listen()
        self.store.put("config", "main", configuration())
        index = 0
        if with_models:
            for zone in ZONES:
                for n in range(16):
                    self.replicas.append(Replica(self, index, "llm", zone, f"{zone}-d{n // 8}"))
                    index += 1
        for n in range(registry):
            self.replicas.append(Replica(self, index, "registry", ZONES[n % 3]))
            index += 1
        for replica in self.replicas:
            await replica.start()
        await self.start_daemons()
        if with_models:
            await self.wait_for_groups()
        await asyncio.sleep(1.0)

    async def start_daemons(self):
        count = self.daemons_per_zone * len(ZONES)
        ports = free_ports(4 * count)
        seeds = [f"127.0.0.1:{ports[4 * n + 2]}" for n in range(min(3, count))]
        template = open(os.path.join(ROOT, "platform", "settings.ini")).read()
        for n in range(count):
            front, ready, control, operators = ports[4 * n : 4 * n + 4]
            zone = ZONES[n % 3]
            fields = {
                "node": f"edge-{zone}-{n}", "zone": zone, "ip": "127.0.0.1", "seeds": seeds,
                "bootstrap": True, "heartbeat_ms": 1200,
                "listen": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}",
                           "control": f"127.0.0.1:{control}"},
                "internal_ports": [operators, operators],
                "limits": {"memory_mb": 260},
                "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine",
                              "stream", "tenants", "platform", "gangs"],
                "platform": {"address": f"127.0.0.1:{self.store.port}"},
                "bounds": {"contact_ms": 3000, "drain_ms": 2000, "config_ms": 2000,
                           "revoke_strict": True, "revoke_ms": 5000, "budget_extra": 136},
            }
            path = os.path.join(self.directory, f"{n}.ini")
            self.daemons.append({"front": front, "ready": ready, "path": path, "zone": zone, "fields": fields,
                                 "process": None, "template": template})
        for n in range(count):
            await self.start_daemon(n, True)

    async def start_daemon(self, n, bootstrap=False):
        daemon = self.daemons[n]
        daemon["fields"]["bootstrap"] = bootstrap
        with open(daemon["path"], "w") as file:
            file.write(fill(daemon["template"], daemon["fields"]))
        log = open(os.path.join(self.directory, f"{n}.log"), "ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["SHALEHINGE_CONFIG"] = daemon["path"]
        command = os.path.join(ROOT, "target", "release", "shalehinge-entry")
        daemon["process"] = await asyncio.create_subprocess_exec(
            command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()

    async def wait_for_groups(self):
        end = time.monotonic() + 25
        while time.monotonic() < end:
            models = {r.group["model"] for r in self.replicas if r.domain and r.group and r.group["state"] == "open"}
            waiting = [r for r in self.replicas if r.domain and (not r.group or r.group["state"] == "joining")]
            if len(models) == 2 and len(waiting) <= 3:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the groups did not form")

    def open_groups(self, model):
        return sum(1 for r in self.replicas if r.domain and r.alive and r.group
                   and r.group["state"] == "open" and r.group["model"] == model)

    async def call(self, daemon, method, target, headers, body=b"", timeout=8.0):
        """Sends one client attempt on a new connection; returns status, headers and body."""
        self.has_traffic = True
        head = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"Authorization: Token {KEY}",
                f"Deadline-Ms: {int(timeout * 1000)}", "Connection: close"]
        head += [f"{k}: {v}" for k, v in headers.items()]
        if body or method == "POST":
            head.append(f"Content-Length: {len(body)}")
        sent_at = self.now()
        result = (0, {}, b"")
        writer = None
        try:
            async def exchange():
                nonlocal writer
                reader, writer = await asyncio.open_connection("127.0.0.1", self.daemons[daemon]["front"])
                writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
                line, got = await read_head(reader)
                status = int(line.split(" ")[1])
                return status, got, await read_body(reader, got)

            result = await asyncio.wait_for(exchange(), timeout + 0.5)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
            pass
        finally:
            if writer:
                writer.close()
        self.note("answered", id=headers.get("Request-Id"), daemon=daemon, sent_at=sent_at,
                  status=result[0], retry_after=result[1].get("retry-after"))
        return result

    async def stop(self):
        self.is_stopping = True
        for daemon in self.daemons:
            process = daemon["process"]
            if process and process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await process.wait()
        for task in self.tasks:
            task.cancel()
        for replica in self.replicas:
            replica.cut()
        if self.store:
            self.store.cut()

    def keep_logs(self, folder):
        shutil.copytree(self.directory, folder, dirs_exist_ok=True)

    def record(self, summary):
        with open(os.path.join(self.folder, "record.txt"), "w") as file:
            for line in summary:
                file.write(line + "\n")
            file.write("\n")
            for note in self.notes:
                file.write(json.dumps(note) + "\n")
        shutil.rmtree(self.directory, ignore_errors=True)


def main(folder, play):
    """Plays a case: `play(fleet)` returns the lines of the summary and whether the rule held."""

    async def run():
        fleet = Fleet(folder)
        summary, code = ["the case could not run"], 2
        try:
            lines, held = await asyncio.wait_for(play(fleet), 116)
            summary, code = lines, 0 if held else 1
        except Exception as error:  # the case could not run
            summary = [f"the case could not run: {error!r}"]
        finally:
            try:
                await fleet.stop()
            except Exception as error:
                summary, code = [f"the stand-ins could not be stopped: {error!r}"], 2
        if os.environ.get("KEEP_LOGS"):
            fleet.keep_logs(os.environ["KEEP_LOGS"])
        fleet.record([f"TROUBLE={1 if TROUBLE else 0}"] + summary)
        print("\n".join(summary))
        return code

    try:
        code = asyncio.run(run())
    except Exception as error:  # never mistaken for a broken rule
        print(f"the case could not run: {error!r}")
        code = 2
    raise SystemExit(code)
