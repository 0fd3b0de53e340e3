"""What a driver meant and did, kept: one SQLite file, each record whole on the disk before it is acted on.

SQLite was weighed against a file of our own with sums and fsync, and against lmdb: it is in the standard
library, recovers by itself from a kill at any point, and several processes may read and write it.
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
    def __init__(self, path: Path) -> None:
        """Raises MalformedError where the file is none of ours."""
        try:
            self.base = sqlite3.connect(path, isolation_level=None, timeout=10.0)
            self.base.execute("pragma journal_mode=wal")
            self.base.execute("pragma synchronous=normal")
            self.base.executescript(TABLES)
            self.base.execute("pragma synchronous=full")  # each record is on the disk, with all before it
        except sqlite3.DatabaseError as error:
            raise MalformedError(f"no log of a change: {error}") from None

    def close(self) -> None:
        self.base.close()

    def get_or_set(self, name: str, value: str) -> str:
        """The value under this name; set once, to `value`."""
        self.base.execute("insert or ignore into about values (?, ?)", (name, value))
        return self.base.execute("select value from about where name = ?", (name,)).fetchone()[0]

    def write(self, record: Record, at: float) -> None:
        """On the disk when it returns. `at`: for people alone."""
        text = msgspec.json.encode(record)
        row = (at, zlib.crc32(text), text)
        self.base.execute("insert into records (at, sum, text) values (?, ?, ?)", row)

    def records(self) -> list[tuple[float, Record]]:
        """Raises MalformedError where one does not have its sum: what was meant is then not known."""
        rows = self.base.execute("select number, at, sum, text from records order by number").fetchall()
        for number, _, total, text in rows:
            if not isinstance(text, bytes) or zlib.crc32(text) != total:
                raise MalformedError(f"record {number} of the log is damaged")
        return [(at, msgspec.json.decode(text, type=Record)) for _, at, _, text in rows]

    def add_request(self, word: str) -> None:
        """Of a person, for the driver that runs or the next one."""
        self.base.execute("insert into wishes (word) values (?)", (word,))

    def pending_requests(self) -> list[str]:
        rows = self.base.execute("select word from wishes where done = 0 order by number").fetchall()
        return [word for (word,) in rows]

    def mark_requests_done(self) -> None:
        self.base.execute("update wishes set done = 1 where done = 0")
