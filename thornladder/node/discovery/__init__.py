"""Discovery of backends. Another source of the list would offer the same interface as `watch.Watch`."""
