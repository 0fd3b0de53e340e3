"""Seeded soak of real node processes under signals: clients send on open connections until the kill."""
