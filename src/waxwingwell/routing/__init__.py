"""Decisions of gateways: which upstream a request goes to, and whether it goes at all.

Pure code over tables: no I/O, no reactor, the present time is an argument.
"""
