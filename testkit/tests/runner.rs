//! Tests of the simulated runner: answers, slots, cancellation and frame faults.

use googletest::prelude::*;
use jacinthweir_testkit::runner::overrides::Overrides;
use jacinthweir_testkit::{Runner, RunnerCfg, text};
use jacinthweir_wire::runner::{
    CacheEvents, CancelRequest, Fenced, Frame, HeldLayers, LayerRange, Order, Refused, RefusedCode,
    RunRequest, Stage, Wanted,
};
use reqwest::{Client, Response};
use tokio_util::sync::CancellationToken;

const LAYERS: [LayerRange; 3] = [
    LayerRange { start: 0, end: 8 },
    LayerRange { start: 8, end: 16 },
    LayerRange { start: 16, end: 24 },
];

struct Chain {
    runners: Vec<Runner>,
    tokens: Vec<CancellationToken>,
    client: Client,
}

fn cfg(stage: usize) -> RunnerCfg {
    RunnerCfg {
        name: format!("r{stage}").into(),
        holds: vec![HeldLayers {
            model: "m".into(),
            layers: LAYERS[stage],
        }],
        token_layers_per_s: 1e6,
        max_running: 1,
        max_queued: 1,
        load_ms_per_layer: 0,
        ..RunnerCfg::default()
    }
}

async fn chain() -> Chain {
    let mut runners = Vec::new();
    let mut tokens = Vec::new();
    for stage in 0..LAYERS.len() {
        let token = CancellationToken::new();
        let runner = Runner::bind(cfg(stage), token.clone()).await;
        runners.push(runner.expect("binds on loopback"));
        tokens.push(token);
    }
    Chain {
        runners,
        tokens,
        client: Client::new(),
    }
}

impl Chain {
    fn request(&self, request: &str, attempt: u32) -> RunRequest {
        let stage = |(i, r): (usize, &Runner)| Stage {
            runner: format!("r{i}").into(),
            address: r.address,
            layers: LAYERS[i],
        };
        RunRequest {
            request: request.into(),
            attempt,
            model: "m".into(),
            route: self.runners.iter().enumerate().map(stage).collect(),
            prompt: format!("prompt of {request}"),
            resume: Vec::new(),
            max_tokens: 10,
            priority: 0,
            deadline_ms: 60_000,
            kv_from: None,
        }
    }

    async fn run(&self, req: &RunRequest) -> Response {
        let url = format!("http://{}/v1/run", self.runners[0].address);
        let sent = self.client.post(url).json(req).send().await;
        sent.expect("the first stage answers")
    }

    async fn frames(&self, req: &RunRequest) -> Vec<Frame> {
        let answer = self.run(req).await;
        let text = answer.text().await.expect("a whole body");
        let parse = |line| serde_json::from_str(line).expect("a frame");
        text.lines().map(parse).collect()
    }

    async fn refused(&self, req: &RunRequest) -> Refused {
        let answer = self.run(req).await;
        assert!(!answer.status().is_success());
        answer.json().await.expect("a refusal")
    }

    fn executed_tokens(&self) -> usize {
        self.runners
            .iter()
            .map(|r| r.execution_log().ran.len())
            .sum()
    }
}

fn texts(frames: &[Frame]) -> String {
    let text = |f: &Frame| match f {
        Frame::Token(t) => Some(t.text.clone()),
        _ => None,
    };
    frames.iter().filter_map(text).collect()
}

#[gtest]
#[tokio::test]
async fn a_route_of_three_stages_runs_each_layer_once_for_each_token() {
    let chain = chain().await;
    let req = chain.request("q1", 1);
    let frames = chain.frames(&req).await;
    expect_that!(texts(&frames), eq(&text::answer(&req.prompt, 10)));
    expect_that!(frames.last(), some(matches_pattern!(Frame::End(_))));
    for frame in &frames {
        if let Frame::Token(token) = frame {
            let ranges: Vec<_> = token.ran.iter().map(|r| r.layers).collect();
            expect_that!(ranges, eq(&LAYERS.to_vec()));
        }
    }
    let (tokens, _) = text::length(&req.prompt, 10);
    expect_that!(chain.executed_tokens(), eq(tokens as usize * LAYERS.len()));
}

#[gtest]
#[tokio::test]
async fn a_resumed_attempt_continues_after_the_delivered_tokens() {
    let chain = chain().await;
    let mut req = chain.request("q1", 2);
    req.resume = (0..4).map(|i| text::token(&req.prompt, i)).collect();
    let frames = chain.frames(&req).await;
    let whole = req.resume.concat() + &texts(&frames);
    expect_that!(whole, eq(&text::answer(&req.prompt, 10)));
}

#[gtest]
#[tokio::test]
async fn an_attempt_runs_once_and_not_after_cancellation() {
    let chain = chain().await;
    let req = chain.request("q1", 1);
    chain.frames(&req).await;
    let again = chain.refused(&req).await;
    expect_that!(again.code, eq(RefusedCode::Stale));
    let cancel = CancelRequest {
        request: "q2".into(),
        attempt: 3,
    };
    let url = format!("http://{}/v1/cancel", chain.runners[0].address);
    let sent = chain.client.post(url).json(&cancel).send().await;
    expect_that!(sent, ok(anything()));
    let late = chain.refused(&chain.request("q2", 3)).await;
    expect_that!(late.code, eq(RefusedCode::Stale));
    chain.frames(&chain.request("q2", 4)).await;
}

// The caller gets a refusal that names the later stage. The first stage already holds its slot when
// the last one refuses as leaving (or is dead); no token may have run by then.
#[gtest]
#[tokio::test]
async fn a_refusal_by_a_later_stage_comes_before_anything_ran() {
    let chain = chain().await;
    chain.runners[2].set(&Overrides {
        leaving: Some(true),
        ..Overrides::default()
    });
    let refused = chain.refused(&chain.request("q1", 1)).await;
    expect_that!(refused.code, eq(RefusedCode::Leaving));
    expect_that!(refused.runner.as_deref(), some(eq("r2")));
    chain.tokens[2].cancel();
    tokio::task::yield_now().await;
    let refused = chain.refused(&chain.request("q2", 1)).await;
    expect_that!(refused.runner.as_deref(), some(eq("r2")));
    expect_that!(chain.executed_tokens(), eq(0));
}

// The caller gets a few tokens and then a broken frame that names the lost stage: the last stage
// dies after the first token was sent.
#[gtest]
#[tokio::test]
async fn a_stage_that_dies_during_the_stream_breaks_the_attempt() {
    let chain = chain().await;
    let mut req = chain.request("#len=100000 q1", 1);
    req.max_tokens = 100_000;
    let mut answer = chain.run(&req).await;
    let mut body = answer
        .chunk()
        .await
        .expect("a chunk")
        .expect("a token")
        .to_vec();
    chain.tokens[2].cancel();
    while let Some(chunk) = answer.chunk().await.expect("a chunk") {
        body.extend_from_slice(&chunk);
    }
    let text = String::from_utf8(body).expect("text");
    let last: Frame = serde_json::from_str(text.lines().last().expect("a line")).expect("a frame");
    match last {
        Frame::Broken(broken) => expect_that!(broken.runner.as_deref(), some(eq("r2"))),
        other => fail!("{other:?}").expect("a broken frame"),
    }
}

#[gtest]
#[tokio::test]
async fn a_full_queue_refuses_and_a_disconnected_caller_releases_its_slot() {
    let chain = chain().await;
    let mut long = chain.request("#len=100000 q1", 1);
    long.max_tokens = 100_000;
    let running = chain.run(&long).await;
    let second = chain.request("q2", 1);
    let waiting = chain.frames(&second);
    let third = async {
        loop {
            let req = chain.request(&format!("q3-{}", uuid::Uuid::new_v4()), 1);
            let answer = chain.run(&req).await;
            if answer.status().as_u16() == 429 {
                break answer.json::<Refused>().await.expect("a refusal");
            }
        }
    };
    let third = async {
        // The second must be in the queue first; the load shows when it is.
        while chain.runners[0].load().1 == 0 {
            tokio::task::yield_now().await;
        }
        let refused = third.await;
        drop(running);
        refused
    };
    let (frames, refused) = tokio::join!(waiting, third);
    expect_that!(refused.code, eq(RefusedCode::Busy));
    expect_that!(frames.last(), some(matches_pattern!(Frame::End(_))));
}

#[gtest]
#[tokio::test]
async fn requested_frame_faults_are_injected() {
    let chain = chain().await;
    let one = Some(1);
    chain.runners[0].set(&Overrides {
        crossed: one,
        duplicate: one,
        late: one,
        ..Overrides::default()
    });
    let clean = chain.request("q1", 1).prompt;
    let (tokens, _) = text::length(&clean, 10);
    let frames = chain.frames(&chain.request("q1", 2)).await;
    expect_that!(frames.len(), eq(tokens as usize + 1 + 3));
    chain.runners[0].set(&Overrides {
        truncated: one,
        ..Overrides::default()
    });
    let frames = chain.frames(&chain.request("q1", 3)).await;
    expect_that!(frames.last(), some(matches_pattern!(Frame::Token(_))));
}

#[gtest]
#[tokio::test]
async fn a_stale_fencing_token_is_refused_only_if_checked() {
    for checks_fencing in [true, false] {
        let token = CancellationToken::new();
        let checking = RunnerCfg {
            checks_fencing,
            ..cfg(0)
        };
        let runner = Runner::bind(checking, token).await.expect("binds");
        let url = format!("http://{}/v1/orders", runner.address);
        let send_order = async |fencing, layers| {
            let wanted = Wanted::Hold(HeldLayers {
                model: "m".into(),
                layers,
            });
            let order = Order { fencing, wanted };
            let sent = Client::new().post(&url).json(&order).send().await;
            sent.expect("the runner answers")
        };
        expect_that!(send_order(7, LAYERS[1]).await.status().as_u16(), eq(200));
        let old = send_order(6, LAYERS[2]).await;
        if checks_fencing {
            expect_that!(old.status().as_u16(), eq(409));
            let fenced: Fenced = old.json().await.expect("the newest token");
            expect_that!(fenced.fencing, eq(7));
        } else {
            expect_that!(old.status().as_u16(), eq(200));
        }
        let obeyed: Vec<_> = runner
            .execution_log()
            .orders
            .iter()
            .map(|o| o.obeyed)
            .collect();
        expect_that!(obeyed, eq(&vec![true, !checks_fencing]));
    }
}

#[gtest]
#[tokio::test]
async fn cache_events_have_the_same_gaps_for_the_same_seed() {
    let numbers = async |seed| {
        let token = CancellationToken::new();
        let lossy = RunnerCfg {
            cache_gap_percent: 50,
            cache_lag_ms: 0,
            seed,
            ..cfg(0)
        };
        let runner = Runner::bind(lossy, token.clone()).await.expect("binds");
        let single = Chain {
            runners: vec![runner],
            tokens: vec![token],
            client: Client::new(),
        };
        for i in 0..20 {
            let mut req = single.request(&format!("q{i}"), 1);
            req.prompt = format!("{i:064}");
            single.frames(&req).await;
        }
        let url = format!("http://{}/v1/cache-events", single.runners[0].address);
        let answer = single.client.get(url).send().await.expect("an answer");
        let shown: CacheEvents = answer.json().await.expect("events");
        shown.events.iter().map(|e| e.number).collect::<Vec<_>>()
    };
    let first = numbers(7).await;
    expect_that!(first, eq(&numbers(7).await));
    expect_that!(first.len(), all!(gt(0), lt(20)));
}
