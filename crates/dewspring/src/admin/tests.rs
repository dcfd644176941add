//! Tests of which endpoints of the operators' listener require the secret.

use std::time::Duration;

use oxhttp::Client;
use oxhttp::model::header::AUTHORIZATION;
use oxhttp::model::{Body, Request};

use super::{AdminServer, AdminSource, DrainReport, ExplainReport, StatusReport};
use crate::settings::SharedSecret;

const SECRET: &str = "0123456789abcdef";

#[derive(Clone)]
struct FakeSource;

impl AdminSource for FakeSource {
    fn is_ready(&self) -> bool {
        false
    }

    fn metrics(&self) -> String {
        "# EOF\n".into()
    }

    fn status(&self) -> StatusReport {
        StatusReport {
            vm: "a".into(),
            boot: 1,
            data_centre: "dk-east-1".into(),
            revision: 3,
            change_id: "c3".into(),
            ready: false,
            draining: false,
            peers: Vec::new(),
            pools: Vec::new(),
        }
    }

    fn explain(&self, request: &str) -> Option<ExplainReport> {
        (request == "known").then(|| ExplainReport {
            request: "known".into(),
            vm: "a".into(),
            steps: Vec::new(),
        })
    }

    fn drain(&self) -> DrainReport {
        DrainReport {
            vm: "a".into(),
            in_flight: 0,
        }
    }
}

struct AdminCase {
    method: &'static str,
    path: &'static str,
    token: Option<&'static str>,
    status: u16,
}

#[test]
fn only_health_and_readiness_need_no_secret() {
    let address = "127.0.0.1:0".parse().expect("a valid address");
    let secret = SharedSecret::new(SECRET).expect("it is long enough");
    let server = AdminServer::bind(address, secret, FakeSource).expect("the listener starts");
    let case = |method, path, token, status| AdminCase {
        method,
        path,
        token,
        status,
    };
    let good = Some(SECRET);
    let cases = [
        case("GET", "/healthz", None, 200),
        case("GET", "/readyz", None, 503),
        case("GET", "/metrics", None, 401),
        case("GET", "/metrics", good, 200),
        case("GET", "/v1/status", None, 401),
        case("GET", "/v1/status", Some("0123456789abcdeX"), 401),
        case("GET", "/v1/status", Some(""), 401),
        case("GET", "/v1/status", good, 200),
        case("POST", "/v1/status", good, 404),
        case("GET", "/v1/explain/known", good, 200),
        case("GET", "/v1/explain/other", good, 404),
        case("GET", "/v1/drain", good, 404),
        case("POST", "/v1/drain", good, 200),
        case("GET", "/nothing", good, 404),
    ];
    let client = Client::new().with_global_timeout(Duration::from_secs(5));
    for case in cases {
        let uri = format!("http://{}{}", server.address(), case.path);
        let mut builder = Request::builder().method(case.method).uri(uri);
        if let Some(token) = case.token {
            builder = builder.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        let request = builder.body(Body::empty()).expect("a valid request");
        let response = client.request(request).expect("an answer");
        assert_eq!(
            response.status(),
            case.status,
            "{} {}",
            case.method,
            case.path
        );
    }
}
