"""A stand-in of a group: members that speak the line protocol, replicate and are promoted."""

import socket
import threading
import time
from contextlib import suppress

CRLF = b"\r\n"
STATEMENT_S = 0.003
REPLICATION_S = 0.02
PROMOTION_S = 1.0
HEARTBEAT_S = 1.2


class Member:
    """A member; `log` holds (term, number, item, data) of each write."""

    def __init__(self, *, group, name, zone, address):
        self.group = group
        self.name = name
        self.zone = zone
        self.address = address
        self.role = "replica"
        self.term = 1
        self.log = []
        self.paused_until_term = 0
        self.state = "ready"
        self.running = True
        self.connections = set()
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.listener = socket.create_server(address, backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    def position(self):
        """Return the position of the last log entry."""
        term, number = self.log[-1][:2] if self.log else (1, 0)
        return f"{term}.{number}"

    def covers(self, position):
        """Tell whether the log has a position."""
        term, _, number = position.partition(".")
        own_term, _, own_number = self.position().partition(".")
        return (int(own_term), int(own_number)) >= (int(term), int(number))

    def record(self):
        """Return what the member writes about itself into the store."""
        self.seq += 1
        ip, port = self.address
        return {
            "service": self.group.name,
            "addr": f"{ip}:{port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 2,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.seq,
            "db_role": self.role,
            "born": self.born,
        }

    def stop(self):
        """End the member: all connections close, and nothing answers at its address."""
        self.running = False
        self.listener.close()
        for sock in list(self.connections):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def _accept(self):
        while self.running:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.add(sock)
            threading.Thread(target=_Connection(member=self, sock=sock).serve, daemon=True).start()


class _Connection:
    """Serve one connection; a message ends with CR LF, as PROTOCOL.md says."""

    def __init__(self, *, member, sock):
        self._member = member
        self._sock = sock
        self._values = {}
        self._prepared = {}
        self._pending = None  # writes of the open transaction
        self._failed = False
        self._team = ""

    def serve(self):
        """Handle messages until the connection ends."""
        buffer = b""
        with suppress(OSError):
            while data := self._sock.recv(65536):
                buffer += data
                *lines, buffer = buffer.split(CRLF)
                for line in lines:
                    if not self._handle(line.decode("latin-1")):
                        return
        self._member.connections.discard(self._sock)
        self._sock.close()

    def _handle(self, line):
        word, _, rest = line.partition(" ")
        if word == "STARTUP":
            group, team, *name = rest.split(" ")
            if group != self._member.group.name or name not in ([], [self._member.name]):
                self._send([f"ERR WRONGNODE {self._member.name}"])
                self._sock.close()
                return False
            self._team = team
            self._send([self._ready()])
            return True
        if word != "QUERY":
            self._sock.close()
            return False
        request_id, _, text = rest.partition(" ")
        self._send([*self._run(request_id, text), self._ready()])
        return True

    def _ready(self):
        state = "E" if self._failed else "I" if self._pending is None else "T"
        return f"READY {state} {self._member.position()}"

    def _send(self, lines):
        with suppress(OSError):
            self._sock.sendall(CRLF.join(line.encode("latin-1") for line in lines) + CRLF)

    def _run(self, request_id, text):
        member, group = self._member, self._member.group
        command, _, rest = text.partition(" ")
        if command in ("STATUS", "PAUSE", "RESUME", "DEMOTE"):
            return group.control(member, command, rest)
        if command == "SET":
            name, _, value = rest.partition(" ")
            self._values[name] = value
            return ["DONE -"]
        if command == "PREPARE":
            name, _, shape = rest.partition(" ")
            self._prepared[name] = shape
            return ["DONE -"]
        if command == "RESET":
            self._values, self._prepared = {}, {}
            return ["DONE -"]
        if command == "WAITPOS":
            position, _, rest = rest.partition(" ")
            if not member.covers(position):
                return [f"ERR LAGGING {member.name}"]
            command, _, rest = rest.partition(" ")
        time.sleep(group.statement_s)
        with group.lock:
            lines = self._execute(request_id, command, rest)
        outcome = lines[-1]
        if not outcome.startswith("ERR"):
            group.runs.append((member.name, request_id, text, time.monotonic()))
        group.log(f"member {member.name} {self._team} QUERY {request_id} {text!r}: {outcome}")
        return lines

    def _execute(self, request_id, command, rest):
        member, group = self._member, self._member.group
        done = f"DONE 7.{member.name}.{request_id}"
        if self._failed and command not in ("COMMIT", "ROLLBACK"):
            return ["ERR BADMSG the transaction failed"]
        if command == "EXEC":
            name, _, rest = rest.partition(" ")
            if name not in self._prepared:
                return [f"ERR NOSTMT {name}"]
            command = self._prepared[name].partition(" ")[0]
        if command == "BEGIN":
            if rest != "READ" and member.role != "primary":
                return [f"ERR READONLY {member.name}"]
            self._pending = []
            return [done]
        if command == "ROLLBACK":
            self._pending, self._failed = None, False
            return [done]
        if command == "COMMIT":
            writes, self._pending = self._pending, None
            if self._failed or (writes and member.role != "primary"):
                self._failed = False
                return [f"ERR READONLY {member.name}"]
            for item, data in writes or []:
                group.append(member, item, data)
            return [done]
        item, _, data = rest.partition(" ")
        if command == "READ":
            value = next((d for _, _, i, d in reversed(member.log) if i == item), "none")
            return [f"ROW {value}", done]
        if command != "WRITE":
            return ["ERR BADMSG unknown statement"]
        if member.role != "primary":
            return [f"ERR READONLY {member.name}"]
        if self._pending is None:
            group.append(member, item, data)
        else:
            self._pending.append((item, data))
        return [done]


class Group:
    """A primary and its replicas; `runs` lists member, id, text and time of each statement."""

    def __init__(self, *, name, store, log):
        self.name = name
        self.lock = threading.RLock()
        self.members = {}
        self.runs = []
        self.statement_s = STATEMENT_S
        self.log = log
        self._store = store

    def add(self, name, zone, address, *, role="replica"):
        """Add a member that has the primary's log, and register it."""
        member = Member(group=self, name=name, zone=zone, address=address)
        member.role = role
        with self.lock:
            source = next((m for m in self.members.values() if m.role == "primary"), None)
            if source is not None:
                member.log, member.term = list(source.log), source.term
            self.members[name] = member
        self.register(member)
        return member

    def register(self, member):
        """Write the member's entry."""
        self._store.put("servers", member.name, member.record())
        self.log(f"member {member.name} reports {member.role} {member.state}")

    def leave(self, member):
        """End a member, and remove its entry."""
        with self.lock:
            member.stop()
            self.members.pop(member.name, None)
        self._store.remove("servers", member.name)
        self.log(f"member {member.name} has left as {member.role}")

    def append(self, member, item, data):
        """Append a write to the primary's log, and send it to the replicas."""
        number = (member.log[-1][1] if member.log else 0) + 1
        member.log.append((member.term, number, item, data))
        for other in self.members.values():
            if other is not member:
                threading.Timer(REPLICATION_S, self._replicate, (other, member)).start()

    def promote(self, name):
        """Start a promotion; return the status of the answer."""
        member = self.members.get(name)
        if member is None or not member.running:
            return 409
        if member.role != "primary":
            threading.Timer(PROMOTION_S, self._complete_promotion, (member,)).start()
        return 200

    def control(self, member, command, argument):
        """Run STATUS, PAUSE, RESUME or DEMOTE."""
        with self.lock:
            if command == "PAUSE":
                member.paused_until_term = int(argument)
            elif command == "RESUME":
                member.paused_until_term = 0
            elif command == "DEMOTE" and member.role == "primary" and int(argument) > member.term:
                member.role, member.term = "replica", int(argument)
                self._follow(member)
                self.register(member)
        paused, count = member.paused_until_term, len(member.connections)
        row = f"{member.role} {member.term} {member.position()} {paused} 0 0 {count}"
        return [f"ROW {row}", "DONE -"]

    def _replicate(self, member, source):
        with self.lock:
            is_current = source.term >= member.term and source.role == "primary"
            if is_current and member.role == "replica" and not member.paused_until_term:
                member.log, member.term = list(source.log), source.term

    def _follow(self, member):
        primaries = [m for m in self.members.values() if m.role == "primary"]
        if primaries:
            source = max(primaries, key=lambda m: m.term)
            member.log, member.term = list(source.log), source.term

    def _complete_promotion(self, member):
        with self.lock:
            if not member.running or member.role == "primary":
                return
            member.term = max(m.term for m in self.members.values()) + 1
            member.role, member.paused_until_term = "primary", 0
            for other in self.members.values():
                if other.role == "replica":
                    self._follow(other)
        self.register(member)
