"""The registry: controls that store the routing document, roll-outs and upstreams."""
