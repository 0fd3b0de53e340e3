"""Staged rollout of a new program or new settings over a fleet, with automatic rollback."""
