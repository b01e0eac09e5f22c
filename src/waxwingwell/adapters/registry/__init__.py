"""The registry: controls that keep the routing document, roll-outs and upstreams."""
