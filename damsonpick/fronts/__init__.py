"""What every wire stands on: sessions with their acknowledged position, queues, marks, stages."""
