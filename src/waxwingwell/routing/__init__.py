"""Routing decisions of gateways: admission of requests and choice of the upstream.

Pure functions over tables: no I/O, no reactor; the current time is an argument.
"""
