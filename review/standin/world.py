"""Stand-ins of the users' platform for the scripts of this review: the metadata store, plain
replicas, clients and the start of daemons. Written from the users' pages alone; everything listens
on loopback addresses."""

import http.client
import json
import os
import re
import signal
import socket
import subprocess
import sys
import threading
import time
import traceback
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target/release/shalehinge-entry")
TEMPLATE = os.path.join(ROOT, "platform/settings.ini")


class Record:
    """Writes what was sent, answered and run to a file, with times since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def line(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
            self.file.flush()


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512
    allow_reuse_address = True

    def handle_error(self, request, client_address):
        pass


class Store:
    """The platform's metadata store: lists, watches and conditional writes of objects."""

    def __init__(self, ip, record=None):
        self.objects = {}
        self.log = []
        self.revision = 100
        self.changed = threading.Condition()
        self.record = record
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args):
                pass

            def do_GET(self):
                store.handle(self)

            do_POST = do_PUT = do_DELETE = do_GET

        self.server = Server((ip, 0), Handler)
        self.address = "%s:%d" % self.server.server_address
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, kind, name, spec):
        """A write of the operator or of a replica."""
        with self.changed:
            return self.write(kind, name, spec, [])

    def remove(self, kind, name):
        with self.changed:
            known = self.objects.pop((kind, name), None)
            if known:
                self.note(kind, known, True)

    def write(self, kind, name, spec, finalizers):
        known = self.objects.get((kind, name))
        if known and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["metadata"]["created_at"] if known else self.revision
        metadata = {
            "name": name,
            "revision": self.revision,
            "created_at": created,
            "finalizers": finalizers,
            "deleting": False,
        }
        value = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[(kind, name)] = value
        self.note(kind, value, False, bumped=True)
        return value

    def note(self, kind, value, deleted, bumped=False):
        if not bumped:
            self.revision += 1
        self.log.append((self.revision, kind, {"deleted": deleted, "object": value}))
        self.changed.notify_all()

    def handle(self, http_request):
        length = int(http_request.headers.get("content-length") or 0)
        body = http_request.rfile.read(length) if length else b""
        parts = urlsplit(http_request.path)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        path = parts.path.strip("/").split("/")
        method = http_request.command
        status, answer = self.answer(method, path, query, body)
        data = json.dumps(answer).encode()
        http_request.send_response(status)
        http_request.send_header("Content-Type", "application/json")
        http_request.send_header("Content-Length", str(len(data)))
        http_request.end_headers()
        http_request.wfile.write(data)

    def answer(self, method, path, query, body):
        if len(path) < 2 or path[0] != "objects":
            return 400, {}
        kind, name = path[1], "/".join(path[2:])
        with self.changed:
            if method == "GET" and not name:
                return self.watch(kind, query) if "watch" in query else self.list(kind, query)
            if method == "GET":
                known = self.objects.get((kind, name))
                return (200, known) if known else (404, {})
            known = self.objects.get((kind, name))
            if method == "DELETE":
                if not known:
                    return 404, {}
                self.remove_locked(kind, name)
                return 200, known
            sent = json.loads(body)
            if method == "POST":
                name = sent["metadata"]["name"]
                if (kind, name) in self.objects:
                    return 409, self.objects[(kind, name)]
                return 201, self.write(kind, name, sent.get("spec"), [])
            if not known:
                return 404, {}
            revision = sent["metadata"].get("revision") or query.get("revision")
            if revision is not None and int(revision) != known["metadata"]["revision"]:
                return 409, known
            return 200, self.write(kind, name, sent.get("spec"), [])

    def remove_locked(self, kind, name):
        known = self.objects.pop((kind, name))
        self.note(kind, known, True)

    def list(self, kind, query):
        after = query.get("since_rev", "")
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [self.objects[(kind, n)] for n in names[:500]]
        return 200, {"items": items, "has_more": len(names) > 500, "current_rev": self.revision}

    def watch(self, kind, query):
        after = int(query["watch"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            events = [event for rev, k, event in self.log if rev > after and k == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            self.changed.wait(left)


class Replica:
    """A plain replica: runs `slots` requests at once, queues a few more and rejects the rest."""

    def __init__(self, ip, service, name, zone, record, slots=6, work_s=0.03,
                 keeps_bodies=True):
        self.service, self.name, self.zone, self.record = service, name, zone, record
        self.slots, self.work_s, self.keeps_bodies = slots, work_s, keeps_bodies
        self.runs = []
        self.run_times = []
        self.lock = threading.Lock()
        self.places = threading.Semaphore(slots)
        self.queue = threading.Semaphore(slots * 5)
        replica = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args):
                pass

            def do_GET(self):
                replica.handle(self)

            do_POST = do_GET

        self.server = Server((ip, 0), Handler)
        self.address = "%s:%d" % self.server.server_address
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def entry(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "born": int(time.time() * 1000),
            "seq": 0,
        }

    def end(self):
        self.server.shutdown()
        self.server.server_close()

    def handle(self, request):
        length = int(request.headers.get("content-length") or 0)
        if "chunked" in (request.headers.get("transfer-encoding") or ""):
            body = b""
            while True:
                size = int(request.rfile.readline().split(b";")[0], 16)
                body += request.rfile.read(size)
                request.rfile.readline()
                if not size:
                    break
        else:
            body = request.rfile.read(length) if length else b""
        expected = request.headers.get("expect-instance")
        if request.path == "/health":
            return self.reply(request, 200, b"", {"Replica-Id": self.name})
        request_id = request.headers.get("request-id")
        if expected and expected != self.name:
            return self.reply(request, 421, b"", {"Replica-Id": self.name})
        if not self.queue.acquire(blocking=False):
            return self.reply(request, 503, b"", {"Not-Executed": "1", "Request-Id": request_id or ""})
        try:
            with self.places:
                self.run(request, request_id, body)
        finally:
            self.queue.release()

    def run(self, request, request_id, body):
        kept = body if self.keeps_bodies else None
        with self.lock:
            self.runs.append((request.command, request.path, kept, dict(request.headers.items())))
            self.run_times.append(time.monotonic())
        self.record.line(f"replica {self.name} runs {request_id}: {request.command} {request.path}"
                         f" ({len(body)} bytes) Tenant-Id={request.headers.get('tenant-id')}")
        time.sleep(self.work_s)
        answer = f"answer to {request_id}".encode()
        headers = {"Request-Id": request_id or "", "Response-Signature": f"s.{request_id}"}
        self.reply(request, 200, answer, headers)

    @staticmethod
    def reply(request, status, body, headers):
        request.send_response(status)
        for name, value in headers.items():
            request.send_header(name, value)
        request.send_header("Content-Length", str(len(body)))
        request.end_headers()
        request.wfile.write(body)


def render(text, fields):
    """Fills the gaps of the settings template as the users' page on the deploy file tells."""

    def lookup(path, scope):
        value = scope
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                return None
        return value

    def section(match):
        value = lookup(match.group(1), fields)
        return match.group(2) if value not in (None, False, [], "") else ""

    def gap(match):
        value = lookup(match.group(1), fields)
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(map(str, value))
        return str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", gap, text)


BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_ms": 2000,
    "rollback_slack_ms": 250, "outer_ms": 5000, "revoke_strict": True, "revoke_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 134, "recovery_s": 12,
    "pass_ms": 120, "retry_after_s": 0, "stall_ms": 5000, "fencing_required": False,
    "ceiling_window_s": 5, "ceiling_overage": 1.1,
}


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Daemon:
    """One entry daemon, started with the command of the deploy file."""

    def __init__(self, folder, name, ip, zone, store, bootstrap=True):
        self.name, self.ip, self.zone, self.folder = name, ip, zone, folder
        self.store, self.bootstrap = store, bootstrap
        self.ports = {part: free_port(ip) for part in ("front", "ready", "control", "operators")}
        self.process = None

    def address(self, part):
        return f"{self.ip}:{self.ports[part]}"

    def start(self, seeds):
        fields = {
            "node": self.name, "zone": self.zone, "seeds": seeds, "bootstrap": self.bootstrap,
            "listen": {part: self.address(part) for part in ("front", "ready", "control")},
            "ip": self.ip, "internal_ports": [self.ports["operators"], self.ports["operators"] + 9],
            "platform": {"address": self.store.address}, "bounds": BOUNDS, "heartbeat_ms": 1200,
        }
        path = os.path.join(self.folder, self.name + ".ini")
        with open(TEMPLATE, encoding="utf-8") as template, open(path, "w") as out:
            out.write(render(template.read(), fields))
        self.bootstrap = False
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        variables = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        variables["SHALEHINGE_CONFIG"] = path
        self.process = subprocess.Popen([PROGRAM], cwd=ROOT, env=variables, stdout=log, stderr=log)

    def is_ready(self):
        try:
            conn = http.client.HTTPConnection(self.ip, self.ports["ready"], timeout=1)
            conn.request("GET", "/ready")
            return conn.getresponse().status == 200
        except OSError:
            return False

    def send_signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def wait_for(condition, limit_s):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.05)
    return False


def send(address, method, target, headers, body=b"", timeout=10):
    """Sends one request on a new connection, its target as it stands. Returns status, headers and
    body; the status is 0 where the connection ended without an answer."""
    host, port = address.rsplit(":", 1)
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    data = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
    try:
        with socket.create_connection((host, int(port)), timeout=timeout) as conn:
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            conn.sendall(data)
            answer = http.client.HTTPResponse(conn, method=method)
            answer.begin()
            return answer.status, dict(answer.headers.items()), answer.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, {}, str(error).encode()


def run_case(main):
    """Ends the script with the result of the case; with 2 where it couldn't run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        status = main()
    except BaseException:  # also SystemExit of the handler
        traceback.print_exc()
        status = 2
    sys.stdout.flush()
    os._exit(status)
