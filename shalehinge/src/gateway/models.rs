//! `GET /v1/models`: the list of models.

use serde::Serialize;
use trillium::{Conn, KnownHeaderName};

use super::{GatewayContext, auth};

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
    owned_by: String,
}

/// Lists the models of the configuration in force, with the customer that owns each.
pub async fn handle(context: GatewayContext, conn: Conn) -> Conn {
    if let Err(error) = auth::customer(&context, &conn) {
        return error.write(conn);
    }
    let data = context.driver.read(|_, core| {
        let fleet = core.state().fleet();
        let models = fleet.map(|fleet| &fleet.value.models).into_iter().flatten();
        models
            .map(|(name, intent)| ModelEntry {
                id: name.to_string(),
                object: "model",
                owned_by: intent.owner.to_string(),
            })
            .collect()
    });
    let list = ModelList {
        object: "list",
        data,
    };
    let body = serde_json::to_string(&list).unwrap_or_default();
    conn.with_response_header(KnownHeaderName::ContentType, "application/json")
        .ok(body)
}
