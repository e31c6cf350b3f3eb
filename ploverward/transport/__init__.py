"""Communication between processes: event loop, framed connections between nodes, their messages, and the HTTP server.

`interfaces` defines the parts of the loop and of connections that the rest of the program uses; the simulation
implements the same interfaces.
"""
