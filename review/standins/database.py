"""Stand-in for one database of a service, as a process of its own.

It speaks the line protocol of the users' pages to proxies, writes its entry into the
store's stand-in, and replicates its log over a protocol of its own. With
`sync_replicas` 1 a commit is acknowledged once one replica has received it. A process
that starts again holds nothing of before, unless it is given a log to start with.
"""

import asyncio
import json
import sys
import time
import urllib.request

BEAT_SECONDS = 1.2
NOTICE_SECONDS = 1.0


def report(**event: object) -> None:
    """Print an event for the record of the run."""
    event["at"] = time.time()
    print(json.dumps(event), flush=True)


class Session:
    """A proxy's connection: its values, prepared statements and transaction."""

    def __init__(self) -> None:
        self.state = "I"
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.is_plain = False
        self.writes: list[list[object]] = []
        self.is_closed = False


class DatabaseProcess:
    """The log, the role and the servers of one database."""

    def __init__(self, settings: dict) -> None:
        self.settings = settings
        self.identifier = settings["id"]
        self.is_primary = settings["role"] == "primary"
        self.term = settings["term"]
        self.held = 0
        self.log: list[list[object]] = settings.get("log", [])
        self.is_draining = False
        self.work_seconds = settings["work_ms"] / 1000
        self.slots = asyncio.Semaphore(settings["slots"])
        self.acknowledged: dict[str, int] = {}
        self.changed = asyncio.Condition()
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.busy = 0
        self.connections = 0
        self.signatures = 0
        self.replaced_at: float | None = None
        # Addresses of proxies that a partition separates from this database.
        self.blocked: set[str] = set()

    # The log.

    def position(self) -> str:
        """Return the end of the log as `TERM.NUMBER`, or `-` if nothing is known."""
        if self.log:
            return f"{self.log[-1][0]}.{len(self.log)}"
        return f"{self.term}.0" if self.term else "-"

    def has(self, text: str) -> bool:
        """Return True if the log reaches a position."""
        term, _, number = text.partition(".")
        own = self.position()
        if own == "-":
            return False
        own_term, _, own_number = own.partition(".")
        return (int(own_term), int(own_number)) >= (int(term), int(number))

    def value(self, item: str) -> str:
        """Return the newest data of an item."""
        for _, name, data, _ in reversed(self.log):
            if name == item:
                return str(data)
        return "-"

    async def append(self, session: Session, writes: list[list[object]]) -> bool:
        """Commit writes; return True once one replica has received them."""
        async with self.changed:
            for item, data, identifier in writes:
                self.log.append([self.term, item, data, identifier])
            number, term = len(self.log), self.term
            report(event="logged", db=self.identifier, position=self.position(),
                   ids=[each[2] for each in writes])
            self.changed.notify_all()
            await self.changed.wait_for(
                lambda: session.is_closed
                or (
                    self.is_primary
                    and self.term == term
                    and max(self.acknowledged.values(), default=0) >= number
                )
            )
        return not session.is_closed

    # Proxies.

    async def serve(self, reader, writer) -> None:
        """Serve one proxy's connection."""
        session = Session()
        address = writer.get_extra_info("peername")[0]
        self.connections += 1
        try:
            await self.pass_partition(address)
            line = (await reader.readuntil(b"\r\n")).decode()[:-2]
            word, *fields = line.split(" ")
            is_named = len(fields) < 3 or fields[2] == self.identifier
            if word != "STARTUP" or fields[0] != self.settings["service"] or not is_named:
                writer.write(f"ERROR WRONGNODE {self.identifier}\r\n".encode())
                return
            if self.connections > self.settings["max_connections"]:
                writer.write(b"ERROR CONNLIMIT full\r\n")
                return
            writer.write(f"READY I {self.position()}\r\n".encode())
            queue: asyncio.Queue[str | None] = asyncio.Queue()
            reading = asyncio.create_task(self.read_lines(reader, session, queue))
            try:
                while (line := await queue.get()) is not None:
                    await self.pass_partition(address)
                    _, identifier, text = line.split(" ", 2)
                    answer = await self.answer(session, identifier, text)
                    if answer is None:
                        return
                    rows, outcome = answer
                    lines = [f"DATAROW {row}" for row in rows]
                    lines += [outcome, f"READY {session.state} {self.position()}\r\n"]
                    writer.write("\r\n".join(lines).encode())
                    await writer.drain()
            finally:
                reading.cancel()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections -= 1
            writer.close()

    async def pass_partition(self, address: str) -> None:
        """Wait until no partition separates this database from an address."""
        while address in self.blocked:
            await asyncio.sleep(0.02)

    async def read_lines(self, reader, session: Session, queue) -> None:
        """Queue the messages of a connection until it ends."""
        try:
            while True:
                line = (await reader.readuntil(b"\r\n")).decode()[:-2]
                if line.startswith("TERMINATE"):
                    break
                queue.put_nowait(line)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        session.is_closed = True
        queue.put_nowait(None)
        async with self.changed:
            self.changed.notify_all()

    def sign(self) -> str:
        """Return a new signature."""
        self.signatures += 1
        return f"COMPLETE {self.identifier}.{self.born:x}.{self.signatures}"

    async def answer(self, session: Session, identifier: str, text: str):
        """Run a statement; return its rows and outcome, or None to close."""
        if text.startswith("SINCE "):
            _, position, text = text.split(" ", 2)
            if not self.has(position):
                return [], f"ERROR LAGGING {self.position()}"
        word, _, rest = text.partition(" ")
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return await self.command(word, rest)
        if word == "ROLLBACK":
            session.state, session.writes = "I", []
            return [], "COMPLETE -"
        if session.state == "E":
            return [], "ERROR MALFORMED the transaction failed"
        match word:
            case "SET":
                name, _, value = rest.partition(" ")
                session.values[name] = value
            case "RESET":
                session.values.clear()
                session.prepared.clear()
            case "PREPARE":
                name, kind, shape = rest.split(" ", 2)
                session.prepared[name] = (kind, shape)
            case "DEALLOCATE":
                session.prepared.pop(rest, None)
            case "BEGIN":
                session.is_plain = rest != "READ"
                if session.is_plain and not self.is_primary:
                    return [], f"ERROR READONLY {self.identifier}"
                session.state, session.writes = "T", []
            case _:
                return await self.work(session, identifier, word, rest)
        return [], "COMPLETE -"

    async def work(self, session: Session, identifier: str, word: str, rest: str):
        """Run a read, a write or a commit, which take a slot."""
        fields = rest.split(" ")
        if word == "EXECUTE":
            if fields[0] not in session.prepared:
                return [], f"ERROR NOSUCHSTMT {fields[0]}"
            word, fields = session.prepared[fields[0]][0], fields[1:]
        is_lost = session.state == "T" and session.is_plain and not self.is_primary
        if is_lost and not (word == "COMMIT" and not session.writes):
            session.state = "E"
            return [], f"ERROR READONLY {self.identifier}"
        if word == "WRITE" and not self.is_primary:
            return [], f"ERROR READONLY {self.identifier}"
        self.busy += 1
        report(event="received", db=self.identifier, id=identifier, word=word)
        try:
            async with self.slots:
                await asyncio.sleep(self.work_seconds)
                report(event="ran", db=self.identifier, id=identifier, word=word)
        finally:
            self.busy -= 1
        if word == "READ":
            return [self.value(fields[0])], self.sign()
        if word == "WRITE":
            write = [fields[0], " ".join(fields[1:]), identifier]
            if session.state == "T":
                session.writes.append(write)
                return [], self.sign()
            is_kept = await self.append(session, [write])
            return ([], self.sign()) if is_kept else None
        if word == "COMMIT":
            writes, session.writes, session.state = session.writes, [], "I"
            if writes and not await self.append(session, writes):
                return None
            return [], self.sign()
        return [], "ERROR MALFORMED unknown statement"

    async def command(self, word: str, rest: str):
        """Run a status query or a command of a promoter."""
        if word == "PAUSE" and not self.is_primary and int(rest) > self.term:
            self.held = max(self.held, int(rest))
        if word == "RESUME":
            self.held = 0
        if word == "STEPDOWN" and self.is_primary and self.term < int(rest):
            await self.set_primary(False)
        if word != "STATUS":
            report(event="command", db=self.identifier, command=f"{word} {rest}")
        async with self.slots:
            role = "primary" if self.is_primary else "replica"
            row = (
                f"{role} {self.term} {self.position()} {self.held} 0"
                f" {self.busy} {self.connections}"
            )
        return [row], "COMPLETE -"

    # The group.

    async def set_primary(self, is_primary: bool) -> None:
        """Change the role, and report that at once."""
        async with self.changed:
            self.is_primary = is_primary
            self.replaced_at = None
            self.changed.notify_all()
        report(event="role", db=self.identifier, primary=is_primary, term=self.term,
               position=self.position())
        await self.beat()

    async def serve_peer(self, reader, writer) -> None:
        """Serve a primary that sends its log, or the platform."""
        try:
            while line := await reader.readline():
                message = json.loads(line)
                writer.write(json.dumps(await self.handle(message)).encode() + b"\n")
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def handle(self, message: dict) -> dict:
        """Handle a message of a primary or of the platform."""
        match message["kind"]:
            case "promote":
                self.term, self.held = message["term"], 0
                report(event="promoted", db=self.identifier, term=self.term,
                       position=self.position(), ids=[each[3] for each in self.log])
                await self.set_primary(True)
            case "resume":
                self.held = 0
            case "block":
                self.blocked = set(message["addresses"])
            case "hello" | "append":
                self.receive(message)
        last = self.log[-1][0] if self.log else 0
        return {
            "ok": not self.held and not self.is_primary
            and message.get("term", 0) >= self.term,
            "length": len(self.log), "last": last, "term": self.term,
        }

    def receive(self, message: dict) -> None:
        """Follow the primary of the newest term."""
        if message["term"] < self.term or self.held:
            return
        if self.is_primary:
            if message["term"] > self.term and self.replaced_at is None:
                self.replaced_at = time.monotonic() + NOTICE_SECONDS
            return
        self.term = message["term"]
        if message["kind"] == "append":
            del self.log[message["from"]:]
            self.log += message["entries"]

    async def replicate(self, peer: list) -> None:
        """Send the log to one peer while this database is primary."""
        name = f"{peer[0]}:{peer[1]}"
        while True:
            self.acknowledged.pop(name, None)
            if not self.is_primary:
                async with self.changed:
                    await self.changed.wait_for(lambda: self.is_primary)
            try:
                reader, writer = await asyncio.open_connection(*peer)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            try:
                await self.send_log(name, reader, writer)
            except (OSError, ValueError):
                pass
            finally:
                writer.close()
            await asyncio.sleep(0.05)

    async def send_log(self, name: str, reader, writer) -> None:
        """Send the log on a connection until that fails or the role changes."""
        async def exchange(**message: object) -> dict:
            writer.write(json.dumps(message).encode() + b"\n")
            return json.loads(await reader.readline())

        reply = await exchange(kind="hello", term=self.term)
        length = reply["length"]
        is_prefix = length <= len(self.log) and (
            not length or self.log[length - 1][0] == reply["last"]
        )
        sent = length if is_prefix else 0
        while self.is_primary and reply["ok"]:
            term, end = self.term, len(self.log)
            entries = self.log[sent:end]
            reply = await exchange(kind="append", term=term, entries=entries, **{"from": sent})
            if not reply["ok"]:
                return
            sent = end
            async with self.changed:
                self.acknowledged[name] = end
                self.changed.notify_all()
                try:
                    async with asyncio.timeout(0.1):
                        await self.changed.wait_for(lambda: len(self.log) > sent)
                except TimeoutError:
                    pass

    async def watch(self) -> None:
        """Become a replica a while after a newer primary was heard of."""
        while True:
            await asyncio.sleep(0.05)
            if self.replaced_at is not None and time.monotonic() > self.replaced_at:
                await self.set_primary(False)

    # The store.

    async def beat(self) -> None:
        """Write this database's entry into the store's stand-in."""
        self.sequence += 1
        entry = {
            "service": self.settings["service"],
            "address": f"{self.settings['ip']}:{self.settings['port']}",
            "zone": self.settings["zone"],
            "config_version": 1,
            "slots": self.settings["slots"],
            "state": "draining" if self.is_draining else "ready",
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "database_role": "primary" if self.is_primary else "replica",
            "born": self.born,
        }
        body = json.dumps({"id": self.identifier, "entry": entry}).encode()
        url = f"http://{self.settings['store']}/standin/beat"
        request = urllib.request.Request(url, body, {"Content-Type": "application/json"})

        def send() -> None:
            with urllib.request.urlopen(request, timeout=1.0):
                pass

        try:
            await asyncio.to_thread(send)
        except OSError:
            pass

    async def run(self) -> None:
        """Serve until the process is ended."""
        settings = self.settings
        await asyncio.start_server(self.serve, settings["ip"], settings["port"], limit=1 << 21)
        await asyncio.start_server(
            self.serve_peer, settings["ip"], settings["peer_port"], limit=1 << 24
        )
        report(event="started", db=self.identifier, position=self.position())
        tasks = [asyncio.create_task(self.replicate(peer)) for peer in settings["peers"]]
        tasks.append(asyncio.create_task(self.watch()))
        while True:
            await self.beat()
            await asyncio.sleep(BEAT_SECONDS)


if __name__ == "__main__":
    asyncio.run(DatabaseProcess(json.loads(sys.argv[1])).run())
