//! The `must` statement of YANG (RFC 7950, 7.5.3) and its substatements.

use crate::statement::{ModelError, Statement};
use crate::xpath::Expression;

/// A constraint on the nodes that it stands in.
#[derive(Debug)]
pub struct Must {
    pub(crate) expression: Expression,
    /// The expression as it stands in the model.
    pub text: String,
    /// The `error-message`.
    pub message: Option<String>,
    /// The `error-app-tag`.
    pub tag: Option<String>,
}

impl Must {
    pub(crate) fn compile(statement: &Statement) -> Result<Must, ModelError> {
        let text = statement.arg()?.to_owned();
        let expression =
            Expression::parse(&text).map_err(|error| statement.wrong(format!("must '{text}': {error}")))?;
        Ok(Must {
            expression,
            message: statement.substatement_arg("error-message")?.map(str::to_owned),
            tag: statement.substatement_arg("error-app-tag")?.map(str::to_owned),
            text,
        })
    }
}
