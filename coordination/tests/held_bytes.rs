//! Memory of responses that are held until they are complete.

use {chalkcart_coordination::overload::HeldBytes, quickcheck::quickcheck};

const KIB: usize = 1024;
/// More than responses may hold together beyond their own.
const MAX_SHARED: usize = 512 * KIB;

quickcheck! {
    fn responses_hold_no_more_than_their_own_and_the_shared_bytes(parts: Vec<(u8, u16)>) -> bool {
        let memory = HeldBytes::default();
        let mut responses: Vec<_> = (0..64).map(|_| (memory.begin(), 0)).collect();
        for (response, bytes) in parts {
            let (response, held) = &mut responses[usize::from(response) % 64];
            *held += if response.hold(usize::from(bytes)) { usize::from(bytes) } else { 0 };
        }
        responses.iter().map(|(_, held)| held).sum::<usize>() <= MAX_SHARED + 64 * 8 * KIB
    }
}

#[test]
fn usual_responses_have_room_while_large_ones_take_all_that_is_shared() {
    let memory = HeldBytes::default();
    let mut large: Vec<_> = (0..100).map(|_| memory.begin()).collect();
    for response in &mut large {
        while response.hold(KIB) {}
    }
    assert!((0..200).all(|_| memory.begin().hold(8 * KIB)));
}

#[test]
fn memory_of_an_ended_response_is_free_again() {
    let memory = HeldBytes::default();
    for _ in 0..1_000 {
        assert!(memory.begin().hold(64 * KIB));
    }
}
