"""Decisions and shared types of hemlockreel, free of any input/output."""
