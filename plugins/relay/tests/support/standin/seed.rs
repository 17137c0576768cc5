//! Stand-in for an instance that others are started with as their seed. It answers requests for the
//! runners, and takes no part in exchanges.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use jacinthweir_clients::direct;

use super::TEST_TIMEOUT;
use super::store::serve;

/// Request for the runners, as instances encode it.
const RUNNERS: &[u8] = b"\xa7Runners";

/// Reply of an instance that does not have the runners.
const DONE: &[u8] = b"\xa4Done";

/// Reply of an instance that has the runners and sent them to another one just now.
const BUSY: &[u8] = b"\xa4Busy";

/// Reply with no runners as of revision 5 of the store's first era.
const FIRST_ERA_COPY: &[u8] = b"\x81\xa7Runners\x93\x90\x92\x00\x05\x92\x00\x05";

/// Maximum size of a reply in bytes.
const MAX_REPLY_BYTES: usize = 1 << 20;

/// How a seed answers requests for the runners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeedAnswer {
    /// It does not have them.
    Nothing,
    /// It has them, and sent them to another instance just now.
    Busy,
    /// It is busy at the first request, and then sends a copy of the store's first era.
    BusyThenFirstEra,
    /// It sends bytes that are no reply.
    Garbage,
    /// It accepts the request and does not answer.
    Silent,
    /// It sends what the instance at an address answers.
    Of(SocketAddr),
}

/// A seed.
pub struct Seed {
    /// How it answers from now on.
    pub answer: Cell<SeedAnswer>,
    asked: Cell<usize>,
}

impl Seed {
    /// Starts a seed and returns it with its address.
    pub async fn spawn(answer: SeedAnswer) -> (Rc<Seed>, SocketAddr) {
        let seed = Rc::new(Seed {
            answer: Cell::new(answer),
            asked: Cell::new(0),
        });
        let shared = Rc::clone(&seed);
        let address = serve(move |req| {
            let seed = Rc::clone(&shared);
            async move { seed.handle(req).await }
        })
        .await;
        (seed, address)
    }

    /// Returns how often it was asked for the runners.
    pub fn asked(&self) -> usize {
        self.asked.get()
    }

    async fn handle(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = req.into_parts();
        let body = body.collect().await.expect("a body").to_bytes();
        if body != RUNNERS {
            return reply(DONE);
        }
        self.asked.set(self.asked.get() + 1);
        match self.answer.get() {
            SeedAnswer::Nothing => reply(DONE),
            SeedAnswer::Busy => reply(BUSY),
            SeedAnswer::BusyThenFirstEra if self.asked() == 1 => reply(BUSY),
            SeedAnswer::BusyThenFirstEra => reply(FIRST_ERA_COPY),
            SeedAnswer::Garbage => reply(b"\xc1\xff garbage"),
            SeedAnswer::Silent => std::future::pending().await,
            SeedAnswer::Of(instance) => {
                let req = Request::from_parts(head, Full::new(body));
                direct::request(instance, req, TEST_TIMEOUT, MAX_REPLY_BYTES)
                    .await
                    .expect("a reply")
                    .map(Full::new)
            }
        }
    }
}

fn reply(body: &'static [u8]) -> Response<Full<Bytes>> {
    Response::new(Full::new(Bytes::from_static(body)))
}
