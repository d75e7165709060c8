"""What is spoken on sockets, one package for each protocol; no protocol imports another."""
