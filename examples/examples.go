// Package examples contains complete catalogues of the deployments of two companies at
// their present sizes.
//
// # Usage
//
//	objects, err := model.Parse(examples.Kalogeropoulos)
package examples

import _ "embed"

// Kalogeropoulos is the catalogue of Kalogeropoulos Psyktiki Pistopoiisi A.E.
//
//go:embed kalogeropoulos.yaml
var Kalogeropoulos []byte

// AmabuyeMeza is the catalogue of Amabuye Meza Walling Academies Ltd.
//
//go:embed amabuye-meza.yaml
var AmabuyeMeza []byte
