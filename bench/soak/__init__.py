"""A fault-injection soak test of the product's processes on loopback.

``python -m bench.soak --seeds 50`` runs fresh seeds with random external faults; every
guarantee is checked against what callers and upstreams observed. With ``--planned``
there are only planned stops, settings reloads and new documents, and some callers read
large responses slowly.
"""
