"""Code shared by routers and controllers: wire protocol, connections, settings, log, configuration documents."""
