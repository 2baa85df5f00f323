"""What an entry knows of one upstream, and how it chooses between them."""
