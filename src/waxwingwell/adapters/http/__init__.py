"""HTTP/1.1 on Twisted transports; the protocol itself is the library h11.

Klein and treq are not used on this path: a gateway must know whether a request was
sent, on which connection, and whether an answer came whole, which they hide.
"""
