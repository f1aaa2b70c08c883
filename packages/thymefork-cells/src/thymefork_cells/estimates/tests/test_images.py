"""What is kept of images' durations."""

from thymefork_cells.estimates import ImageTimes
from thymefork_cells.estimates.images import MOST_IMAGES


def test_images_seen_last_are_kept_and_no_more():
    """Callers name images as they like, such as one for each build."""
    images = ImageTimes()
    for number in range(3 * MOST_IMAGES):
        images.learn("steady", 100.0)
        images.learn(f"build-{number}", 200.0)
    assert images.known_ms("steady") == 100.0
    assert images.known_ms(f"build-{3 * MOST_IMAGES - 1}") == 200.0
    assert images.known_ms("build-0") is None
    assert len(images._mean_ms) == MOST_IMAGES
