"""Seeded experiments that drive the real decisions over table-level fakes."""
