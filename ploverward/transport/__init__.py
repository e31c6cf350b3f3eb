"""How processes talk: the event loop, framed connections between nodes, the messages on them, and the HTTP server.

`interfaces` states what the rest of the program uses of the loop and of connections; the simulation has twins of both.
"""
