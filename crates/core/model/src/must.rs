//! The `must` statement of YANG (RFC 7950, 7.5.3) and its substatements.

use crate::statement::{ModelError, Statement};
use crate::xpath::Expression;

/// A constraint on the node whose statement contains it.
#[derive(Debug)]
pub struct Must {
    pub(crate) expression: Expression,
    /// The XPath expression as written in the module.
    pub text: String,
    /// The `error-message` statement.
    pub message: Option<String>,
    /// The `error-app-tag` statement.
    pub tag: Option<String>,
}

impl Must {
    pub(crate) fn compile(statement: &Statement) -> Result<Must, ModelError> {
        let text = statement.arg()?.to_owned();
        let expression =
            Expression::parse(&text).map_err(|error| statement.error(format!("must '{text}': {error}")))?;
        Ok(Must {
            expression,
            message: statement.substatement_arg("error-message")?.map(str::to_owned),
            tag: statement.substatement_arg("error-app-tag")?.map(str::to_owned),
            text,
        })
    }
}
