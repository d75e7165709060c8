"""The router: takes clients' requests and passes each to an upstream of its route's service."""
