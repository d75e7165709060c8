"""Who is there, among listed addresses, and items between them. Rules apart from hands; this imports neither."""
