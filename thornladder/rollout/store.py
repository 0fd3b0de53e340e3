"""The driver's log: a SQLite file in which each record is synced to disk before the driver acts on it.

SQLite is in the standard library, recovers from a kill at any point without help, and allows several
processes to read and write at once; the alternatives were a file format of our own with checksums and fsync,
and lmdb.
"""

from __future__ import annotations

import sqlite3
import zlib
from pathlib import Path

import msgspec

from thornladder.fields import MalformedError
from thornladder.rollout.core import Record

TABLES = """
create table if not exists records (number integer primary key, at real, sum integer, text blob);
create table if not exists wishes (number integer primary key, word text, done integer default 0);
create table if not exists about (name text primary key, value text);
"""


class Store:
    """Records, operator requests and metadata of one rollout."""

    def __init__(self, path: Path) -> None:
        """Raises MalformedError if the file is not such a log."""
        try:
            self.connection = sqlite3.connect(path, isolation_level=None, timeout=10.0)
            self.connection.execute("pragma journal_mode=wal")
            self.connection.execute("pragma synchronous=normal")
            self.connection.executescript(TABLES)
            # From here on, each commit is synced to disk with all earlier ones.
            self.connection.execute("pragma synchronous=full")
        except sqlite3.DatabaseError as error:
            raise MalformedError(f"not a rollout log: {error}") from None

    def close(self) -> None:
        self.connection.close()

    def get_or_set(self, name: str, value: str) -> str:
        """Returns the metadata stored under `name`; stores `value` first if there is none."""
        self.connection.execute("insert or ignore into about values (?, ?)", (name, value))
        return self.connection.execute("select value from about where name = ?", (name,)).fetchone()[0]

    def write(self, record: Record, at: float) -> None:
        """Appends a record, synced to disk on return; `at` is Unix time and only for display."""
        text = msgspec.json.encode(record)
        row = (at, zlib.crc32(text), text)
        self.connection.execute("insert into records (at, sum, text) values (?, ?, ?)", row)

    def records(self) -> list[tuple[float, Record]]:
        """Raises MalformedError if a checksum is wrong, as the driver's intent is then unknown."""
        rows = self.connection.execute("select number, at, sum, text from records order by number").fetchall()
        for number, _, checksum, text in rows:
            if not isinstance(text, bytes) or zlib.crc32(text) != checksum:
                raise MalformedError(f"record {number} of the log is damaged")
        return [(at, msgspec.json.decode(text, type=Record)) for _, at, _, text in rows]

    def add_request(self, word: str) -> None:
        """Queues an operator's request for the running driver, or the next one to start."""
        self.connection.execute("insert into wishes (word) values (?)", (word,))

    def pending_requests(self) -> list[str]:
        """Requests that no driver has handled yet, oldest first."""
        rows = self.connection.execute("select word from wishes where done = 0 order by number").fetchall()
        return [word for (word,) in rows]

    def mark_requests_done(self) -> None:
        self.connection.execute("update wishes set done = 1 where done = 0")
