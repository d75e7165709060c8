"""FastCGI 1.0: records, CGI variables, the callers' side and the upstreams' side. Imported only where it is on."""
