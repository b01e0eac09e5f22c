"""The product's own processes under randomised faults from outside, all on loopback.

``python -m bench.soak --seeds 50`` plays fresh seeds; every promise is checked from
what callers and upstreams saw. With ``--planned`` nothing but planned stops, changed
settings and documents is played, and some callers read big answers slowly.
"""
