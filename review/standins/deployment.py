"""A small deployment on loopback addresses: the store, runners, and instances of the system as processes."""

import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
BINARY = ROOT / "target/release/vanillakeel-platform"
STANDINS = pathlib.Path(__file__).resolve().parent
HOST = "desk.example"
KEY = "n2ctnfzs989anu6wsjnb"
OTHER_KEY = "anfqasnmgkcuyj8pjbvk"
HEARTBEAT_S = 1.2

# Exit code of a case whose rule was broken; run.sh turns it into 1, as Python ends with 1 on errors of its own.
RULE_BROKEN = 10

# As in the site files.
BOUNDS = {
    "stable_window_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 56,
}


class CannotRun(Exception):
    """The case could not be played."""


taken_ports = set()


def free_port(host):
    """Returns a port that is free for TCP and UDP and has not been returned before."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((host, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((host, port))
            except OSError:
                continue
        if port not in taken_ports:
            taken_ports.add(port)
            return port


def render(template, fields):
    """Fills in the placeholders of the settings template that the platform fills in."""

    def value(match):
        at = fields
        for part in match.group(1).split("."):
            at = at[int(part)] if isinstance(at, list) else at.get(part, "")
        return str(at).lower() if isinstance(at, bool) else str(at)

    return re.sub(r"\{\{([a-z_0-9.]+)\}\}", value, template)


class Deployment:
    def __init__(self, record_path):
        self.store = Store()
        self.folder = tempfile.TemporaryDirectory()
        self.processes = []
        self.runners = {}
        self.instances = []
        self.lock = threading.Lock()
        self.started = time.monotonic()
        self.record_file = open(record_path, "w", encoding="utf-8")
        self.events = []
        self.is_over = False

    def record(self, **fields):
        fields = {"at_s": round(time.monotonic() - self.started, 3), **fields}
        with self.lock:
            self.events.append(fields)
            self.record_file.write(json.dumps(fields) + "\n")
            self.record_file.flush()

    def _spawn(self, *command, **options):
        process = subprocess.Popen(
            [str(c) for c in command], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True, **options
        )
        self.processes.append(process)
        return process

    # Runners

    def start_runner(self, name, service, zone, slots=64, program="runner.py", version="v1", **options):
        flags = [f"--{k.replace('_', '-')}={v}" for k, v in options.items()]
        process = self._spawn(sys.executable, STANDINS / program, "--id", name, *flags)
        address = json.loads(process.stdout.readline())["address"]
        runner = {
            "name": name,
            "process": process,
            "alive": True,
            "entry": {
                "service": service,
                "address": address,
                "zone": zone,
                "version": version,
                "slot_count": slots,
                "state": "ready",
                "cold_remaining_ms": 0,
                "call_seq": 1,
                "born": int(time.time() * 1000),
            },
        }
        self.runners[name] = runner
        self.store.put("keyed.servers", name, runner["entry"])
        threading.Thread(target=self._follow_runner, args=(runner,), daemon=True).start()
        threading.Thread(target=self._heartbeat, args=(runner,), daemon=True).start()
        return runner

    def _follow_runner(self, runner):
        for line in runner["process"].stdout:
            self.record(**json.loads(line))

    def _heartbeat(self, runner):
        while True:
            time.sleep(HEARTBEAT_S)
            with self.lock:
                if not runner["alive"]:
                    return
                if runner["process"].poll() is not None:
                    continue
                runner["entry"]["call_seq"] += 1
                entry = dict(runner["entry"])
            self.store.put("keyed.servers", runner["name"], entry)

    def write_state(self, runner, state):
        with self.lock:
            runner["entry"]["state"] = state
            runner["entry"]["call_seq"] += 1
            entry = dict(runner["entry"])
        self.store.put("keyed.servers", runner["name"], entry)
        self.record(event="entry", runner=runner["name"], state=state)

    def remove_entry(self, runner):
        with self.lock:
            runner["alive"] = False
        self.store.put("keyed.servers", runner["name"], b"")
        self.record(event="entry removed", runner=runner["name"])

    def crash(self, runner):
        """Kills a runner; its entry expires after three heartbeat intervals of silence."""
        self.record(event="runner killed", runner=runner["name"])
        runner["process"].send_signal(signal.SIGKILL)
        runner["process"].wait()
        with self.lock:
            runner["alive"] = False
        expire = threading.Timer(3 * HEARTBEAT_S, self.store.put, ("keyed.servers", runner["name"], b""))
        expire.daemon = True
        expire.start()

    def revive(self, runner, after_s, **options):
        """Starts a runner that has crashed again, under its id; its entry stays until then, if that is soon."""
        runner["process"].wait()
        time.sleep(after_s)
        if self.is_over:
            return
        flags = [f"--{k.replace('_', '-')}={v}" for k, v in options.items()]
        process = self._spawn(sys.executable, STANDINS / "runner.py", "--id", runner["name"], *flags)
        address = json.loads(process.stdout.readline())["address"]
        with self.lock:
            runner["process"] = process
            runner["entry"].update(address=address, state="ready", call_seq=1, born=int(time.time() * 1000))
            entry = dict(runner["entry"])
        self.store.put("keyed.servers", runner["name"], entry)
        self.record(event="runner is back", runner=runner["name"])
        threading.Thread(target=self._follow_runner, args=(runner,), daemon=True).start()

    def exit_runner(self, runner):
        """Lets a runner exit after a planned shutdown; its entry is removed once it has left."""
        self.record(event="runner exits", runner=runner["name"])
        runner["process"].stdin.write("exit\n")
        runner["process"].stdin.flush()
        runner["process"].wait()
        self.remove_entry(runner)

    # Configuration

    def configure(self, version, routes, services, limits=None):
        limits = limits or {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        configuration = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": limits,
            "tenants": [
                {"name": "hule930", "api_keys": [KEY], "priority": 1},
                {"name": "vani217", "api_keys": [OTHER_KEY], "priority": 1},
            ],
        }
        self.store.put("keyed.op", "config", configuration)
        self.record(event="configuration acknowledged", version=version)

    # Instances

    def start_instance(self, name, zone, host="127.0.0.1"):
        front, ready = free_port(host), free_port(host)
        fields = {
            "node_name": name,
            "zone": zone,
            "ip": host,
            "internal_ports": [free_port(host)],
            "bootstrap": True,
            "listen": {"front": f"{host}:{front}", "readiness_addr": f"{host}:{ready}"},
            "limits": {"link_mbps": 1000.0, "memory_mb": 260},
            "platform": {"address": self.store.address},
            "bounds": BOUNDS,
        }
        template = (ROOT / "platform/settings.toml").read_text(encoding="utf-8")
        path = pathlib.Path(self.folder.name) / f"{name}.toml"
        path.write_text(render(template, fields), encoding="utf-8")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["VANILLAKEEL_SETTINGS"] = str(path)
        process = self._spawn(BINARY, env=env, cwd=ROOT)
        instance = {
            "name": name,
            "process": process,
            "front": (host, front),
            "ready": (host, ready),
            "pid": process.pid,
        }
        self.instances.append(instance)
        threading.Thread(target=self._follow_instance, args=(instance,), daemon=True).start()
        return instance

    def _follow_instance(self, instance):
        """Reads the log of an instance, and keeps its lines on what is refused for crashes."""
        for line in instance["process"].stdout:
            if "crashes upstreams" in line or "no longer refused" in line:
                self.record(event="log line", of=instance["name"], line=json.loads(line[line.index("{") :]))

    def is_ready(self, instance):
        try:
            with socket.create_connection(instance["ready"], 1) as s:
                s.settimeout(1)
                s.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return s.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self, settle_s=4.0):
        due = time.monotonic() + 15
        while not all(self.is_ready(i) for i in self.instances):
            if time.monotonic() > due:
                raise CannotRun("an instance is not ready")
            time.sleep(0.1)
        time.sleep(settle_s)

    def stop(self):
        self.is_over = True
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        self.folder.cleanup()
        self.record_file.close()


class Answer:
    """What a client has seen of the answer to one request."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.error = None

    def summary(self):
        return {
            "status": self.status,
            "seal": self.headers.get("vanillakeel-response-seal"),
            "body_bytes": len(self.body),
            "complete": self.is_complete,
            "error": self.error,
        }


def call(instance, rid, method, path, body=b"", deadline_ms=15000, headers=None, key=KEY):
    """Sends a request on a new connection and reads its answer to the end."""
    answer = Answer()
    try:
        with connect(instance) as s:
            answer = call_on(s, rid, method, path, body, deadline_ms, headers, key)
    except OSError as e:
        answer.error = type(e).__name__
    return answer


def connect(instance):
    return socket.create_connection(instance["front"], 1)


def call_on(s, rid, method, path, body=b"", deadline_ms=15000, headers=None, key=KEY):
    """Sends a request on a connection and reads its answer to the end."""
    answer = Answer()
    try:
        head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nVanillakeel-Request-Id: {rid}\r\n"
        head += f"Vanillakeel-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        s.settimeout(deadline_ms / 1000 + 1)
        s.sendall(head.encode() + b"\r\n" + body)
        _read_answer(s, answer)
    except (OSError, ValueError) as e:
        answer.error = str(e) if isinstance(e, ValueError) else type(e).__name__
    return answer


def _read_answer(s, answer):
    data = b""

    def more():
        nonlocal data
        got = s.recv(65536)
        data += got
        return bool(got)

    while b"\r\n\r\n" not in data:
        if not more():
            raise ValueError("closed in the head")
    head, data = data.split(b"\r\n\r\n", 1)
    lines = head.decode().split("\r\n")
    answer.status = int(lines[0].split(" ")[1])
    for line in lines[1:]:
        name, value = line.split(":", 1)
        answer.headers[name.lower()] = value.strip()
    if "content-length" in answer.headers:
        length = int(answer.headers["content-length"])
        while len(data) < length:
            answer.body = data
            if not more():
                raise ValueError("closed in the body")
        answer.body = data[:length]
        answer.is_complete = True
        return
    if answer.headers.get("transfer-encoding", "").lower() != "chunked":
        while more():
            answer.body = data
        answer.body = data
        answer.is_complete = True
        return
    while True:
        while b"\r\n" not in data:
            if not more():
                raise ValueError("closed between chunks")
        size, data = data.split(b"\r\n", 1)
        size = int(size, 16)
        while len(data) < size + 2:
            if not more():
                raise ValueError("closed in a chunk")
        answer.body += data[:size]
        data = data[size + 2 :]
        if size == 0:
            answer.is_complete = True
            return


def route(prefix, kind, service, timeout_ms, **fields):
    return {
        "name": "r-" + prefix.strip("/"),
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        "public": False,
        "sticky": kind == "streaming",
        "can_resume": False,
        "gap_aim_ms": 800,
        **fields,
    }


def service(name, max_connections):
    return {"name": name, "health_path": "/health", "max_connections": max_connections, "protocol": "h1", "tls": False}


def main(play):
    """Runs a case: `play(deployment, has_trouble)` returns the faults seen. Exits with RULE_BROKEN, 0 or 2."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record_path = pathlib.Path(sys.argv[1]) / "record.txt"
    if not BINARY.exists():
        print("not built: run the build of deploy/system.toml first")
        sys.exit(2)
    deployment = Deployment(record_path)

    def on_timeout(*_):
        raise CannotRun("it took too long")

    signal.signal(signal.SIGTERM, on_timeout)
    try:
        faults = play(deployment, has_trouble)
        for fault in faults:
            deployment.record(event="RULE BROKEN", what=fault)
            print("rule broken:", fault)
        print(f"{len(faults)} faults seen, trouble {'on' if has_trouble else 'off'}")
        code = RULE_BROKEN if faults else 0
    except Exception as e:
        print("could not run:", type(e).__name__, e)
        code = 2
    finally:
        deployment.stop()
    sys.exit(code)
