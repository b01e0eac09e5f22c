"""The gateway: forwards callers' requests to upstreams according to routes."""
