"""Runs instances of the decision module for a simulator, which drives them by JSON lines."""
