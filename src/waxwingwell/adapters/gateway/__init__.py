"""The gateway: passes callers' requests on to upstreams by routes."""
