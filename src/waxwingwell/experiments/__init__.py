"""Seeded experiments that run the real decision code on simulated components."""
