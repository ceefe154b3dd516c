//! Tests of the roles that the scale harness measures with simulated fronts. Output lines `proof: NAME figure` contain
//! figures.

mod hollow;
mod roles;
