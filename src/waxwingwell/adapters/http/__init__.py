"""HTTP/1.1 on Twisted transports; the library h11 implements the protocol.

Klein and treq are not used on this path: a gateway must know whether a request was
sent, on which connection, and whether a response is complete, which they hide.
"""
