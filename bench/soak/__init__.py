"""The product's own processes under randomised faults from outside, all on loopback.

``python -m bench.soak --seeds 50`` plays fresh seeds; every promise is checked from
what callers and upstreams saw.
"""
