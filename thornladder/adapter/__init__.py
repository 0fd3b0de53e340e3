"""Hosts instances of the decision module behind the bench's wire."""
