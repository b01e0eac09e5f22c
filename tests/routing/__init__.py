"""Tests of the gateways' decisions."""
