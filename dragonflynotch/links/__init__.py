"""Network protocols between the processes: messages, clients, servers."""
