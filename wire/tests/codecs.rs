//! Property tests of both codecs: arbitrary bytes never cause a panic, encoded messages decode to
//! equal ones, and a truncated message is never accepted.

use jacinthweir_policy::layers::MAX_LAYERS;
use jacinthweir_policy::prelude::Name;
use jacinthweir_wire::caller::{ChatRequest, CompletionRequest, FinishReason};
use jacinthweir_wire::operator::{ApplyRequest, Head, RequestRecord};
use jacinthweir_wire::peer::{Exchange, ExchangeAnswer, ProbeRequest, Push};
use jacinthweir_wire::platform::{InstanceList, Object, WatchAnswer};
use jacinthweir_wire::runner::{
    BrokenFrame, EndFrame, Frame, LayerRange, LoadReport, RanRange, Refused, TokenFrame,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn deterministic(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_203),
        ..Config::default()
    }
}

fn name() -> impl Strategy<Value = Name> {
    "[a-z0-9.-]{1,24}".prop_map(Name::from)
}

fn layers() -> impl Strategy<Value = LayerRange> {
    let ends = (0..=MAX_LAYERS).prop_flat_map(|end| (0..=end, Just(end)));
    ends.prop_map(|(start, end)| LayerRange { start, end })
}

fn ran() -> impl Strategy<Value = RanRange> {
    (name(), layers()).prop_map(|(runner, layers)| RanRange { runner, layers })
}

fn frame() -> impl Strategy<Value = Frame> {
    let token = (
        name(),
        any::<u32>(),
        any::<u32>(),
        ".{0,40}",
        prop::collection::vec(ran(), 0..4),
    );
    let token = token.prop_map(|(request, attempt, index, text, ran)| {
        Frame::Token(TokenFrame {
            request,
            attempt,
            index,
            text,
            ran,
        })
    });
    let end = (
        name(),
        any::<u32>(),
        any::<u32>(),
        any::<u32>(),
        any::<bool>(),
    );
    let end = end.prop_map(|(request, attempt, tokens, prompt_tokens, stop)| {
        let finish = if stop {
            FinishReason::Stop
        } else {
            FinishReason::Length
        };
        Frame::End(EndFrame {
            request,
            attempt,
            tokens,
            prompt_tokens,
            finish,
        })
    });
    let broken = (name(), any::<u32>(), prop::option::of(name()), ".{0,40}");
    let broken = broken.prop_map(|(request, attempt, runner, cause)| {
        Frame::Broken(BrokenFrame {
            request,
            attempt,
            runner,
            cause,
        })
    });
    prop_oneof![token, end, broken]
}

/// Decodes the bytes as each message type that is received from outside, ignoring the results.
fn decode_all(bytes: &[u8]) {
    let _ = rmp_serde::from_slice::<Exchange>(bytes);
    let _ = rmp_serde::from_slice::<ExchangeAnswer>(bytes);
    let _ = rmp_serde::from_slice::<Push>(bytes);
    let _ = rmp_serde::from_slice::<ProbeRequest>(bytes);
    let _ = rmp_serde::from_slice::<Head>(bytes);
    let _ = rmp_serde::from_slice::<RequestRecord>(bytes);
    let _ = serde_json::from_slice::<ChatRequest>(bytes);
    let _ = serde_json::from_slice::<CompletionRequest>(bytes);
    let _ = serde_json::from_slice::<ApplyRequest>(bytes);
    let _ = serde_json::from_slice::<Frame>(bytes);
    let _ = serde_json::from_slice::<LoadReport>(bytes);
    let _ = serde_json::from_slice::<Refused>(bytes);
    let _ = serde_json::from_slice::<Object>(bytes);
    let _ = serde_json::from_slice::<WatchAnswer>(bytes);
    let _ = serde_json::from_slice::<InstanceList>(bytes);
}

proptest! {
    #![proptest_config(deterministic(2_000))]

    #[test]
    fn random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        decode_all(&bytes);
    }

    #[test]
    fn encoded_frame_decodes_to_an_equal_frame(frame in frame()) {
        let line = serde_json::to_string(&frame).unwrap();
        prop_assert!(!line.contains('\n'), "a frame is one line");
        let decoded: Frame = serde_json::from_str(&line).unwrap();
        prop_assert_eq!(decoded, frame);
    }

    // Guards against layers of a runner's message that no model has: they would drive loops and sums.
    #[test]
    fn frame_with_layers_out_of_range_is_refused(start in any::<u32>(), end in any::<u32>()) {
        prop_assume!(start > end || end > MAX_LAYERS);
        let ran = vec![RanRange { runner: "r".into(), layers: LayerRange { start, end } }];
        let (request, text) = (Name::from("q"), String::new());
        let frame = Frame::Token(TokenFrame { request, attempt: 1, index: 0, text, ran });
        let line = serde_json::to_string(&frame).unwrap();
        prop_assert!(serde_json::from_str::<Frame>(&line).is_err());
    }

    #[test]
    fn truncated_frame_is_refused(frame in frame(), cut in 0.0..1.0_f64) {
        let line = serde_json::to_vec(&frame).unwrap();
        let end = (line.len() as f64 * cut) as usize;
        prop_assert!(serde_json::from_slice::<Frame>(&line[..end]).is_err());
    }

    #[test]
    fn truncated_head_is_refused(revision in any::<u64>(), cut in 0.0..1.0_f64) {
        let head = Head { revision, ..Head::default() };
        let bytes = rmp_serde::to_vec_named(&head).unwrap();
        let end = (bytes.len() as f64 * cut) as usize;
        prop_assert!(rmp_serde::from_slice::<Head>(&bytes[..end]).is_err());
    }
}
